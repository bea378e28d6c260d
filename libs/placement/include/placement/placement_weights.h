#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace camphorgrade::placement {

/** The measure a deployment puts first; the field `weigh` of the operators' text. */
enum class weighed_measure {
    load_stalls, /**< Loads go first to the adapters that most callers wait for. */
    fairness     /**< Loads go first to the client account furthest behind its fair share. */
};

/**
 * How the scheduler trades the measures against each other. One code path reads these numbers.
 *
 * All terms are in milliseconds of waiting time: an adapter's urgency is the age of its oldest
 * waiting request, plus `per_caller` for every further one, plus `per_kilotoken_behind` for every
 * thousand tokens that its account is behind the account served last, at most `most_behind`.
 */
struct placement_weights {
    duration per_caller{3000};
    duration per_kilotoken_behind{50};
    duration most_behind{10000};

    friend bool operator==(const placement_weights&, const placement_weights&) = default;
};

/** Value of `weigh` in the operators' text; nullopt for an unknown word. Thread safe. */
std::optional<weighed_measure> parse_weighed_measure(std::string_view text);

/** The weights that stand for a measure. Thread safe. */
placement_weights weights_for(weighed_measure first);

} // namespace camphorgrade::placement
