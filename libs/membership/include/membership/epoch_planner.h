#pragma once

#include <membership/epoch_record.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace camphorgrade::membership {

/** What a gateway wants of the epoch for itself. */
enum class epoch_intent { stay, join, leave };

/** What a gateway knows when it plans the next epoch. A value type. */
struct epoch_view {
    node_life self;
    epoch_intent intent = epoch_intent::stay;
    std::set<std::uint64_t> dead;      /**< Generations proven never to admit again. */
    bool leads = false;                /**< First member that is neither dead nor silent. */
    bool may_change_witnesses = false; /**< The present set has taken over from the one before. */
    std::set<node_id> lost_witnesses;  /**< Witnesses that have long not answered. */
    bool record_removed = false; /**< By operators: the witnesses that do not answer are gone. */
    std::vector<node_info> nodes;
    std::size_t most_witnesses = 7;
};

/**
 * The witnesses that should be: those of `current` that still live, filled up to an odd number with
 * live agents spread over the data centres; gateways only where there are fewer than three agents.
 * Thread safe.
 */
std::vector<node_life> choose_witnesses(const std::vector<node_life>& current,
                                        const epoch_view& view);

/**
 * Whether the epoch can no longer give standing to anyone: a majority of its witnesses has been
 * restarted, or operators have removed the record because a majority is gone for good. Whoever
 * joins then begins a set without a previous one, and the shares of all former members are taken
 * back after the validity of what the former witnesses granted. Thread safe.
 */
bool needs_fresh_start(const epoch_record& current, const epoch_view& view);

/**
 * The epoch that should follow `current`, or nothing when it is as it should be. Members change
 * their own entry; all else is changed by the member that leads. Thread safe.
 */
std::optional<epoch_record> plan_next_epoch(const epoch_record& current, const epoch_view& view);

} // namespace camphorgrade::membership
