#pragma once

#include <delivery/attempt_id.h>
#include <kernel/clock.h>
#include <kernel/ids.h>

#include <cstdint>
#include <map>
#include <set>

namespace camphorgrade::delivery {

/** What an agent makes of a run_attempt message. */
enum class arrival : std::uint8_t {
    fresh,     /**< First sight: take it. */
    duplicate, /**< Taken before: acknowledge again, never run again. */
    cancelled, /**< Its cancellation came first: drop it. */
    stale,     /**< An old gateway life, or so late that duplicates can't be told: drop it. */
    wrong_life /**< Meant for another life of this agent: answer part_unknown. */
};

/**
 * Tells an agent which run_attempt messages are new, over a network that repeats, delays and
 * reorders. Forgets an attempt some time after it; requests of a gateway life are numbered upwards,
 * so whatever lies below a forgotten one and is not remembered counts as stale. Not thread safe.
 *
 * @code
 * attempt_register seen(life, duration{120'000});
 * if (seen.arrive(id, target_life, now) == arrival::fresh) { enqueue(...); }
 * @endcode
 */
class attempt_register {
public:
    /** `keep` must exceed the longest deadline of a request. Precondition: positive. */
    attempt_register(incarnation self, duration keep);

    /** A run_attempt arrived; `target` is the agent life it is meant for, zero for any. */
    arrival arrive(const attempt_id& id, incarnation target, time_point now);

    /** A cancellation arrived; a run_attempt that comes after it will not run. */
    void cancel(const attempt_id& id, time_point now);

    std::size_t size() const noexcept { return seen_.size(); }

private:
    struct gateway_state {
        incarnation life;
        std::uint64_t forgotten_below = 0; /**< Requests below may have been forgotten. */
    };
    struct seen_state {
        bool cancelled = false;
        time_point at;
    };

    bool is_stale(const attempt_id& id);
    void remember(const attempt_id& id, bool cancelled, time_point now);
    void forget(time_point now);

    incarnation self_;
    duration keep_;
    std::map<node_id, gateway_state> gateways_;
    std::map<attempt_id, seen_state> seen_;
    std::set<std::pair<time_point, attempt_id>> by_age_;
};

} // namespace camphorgrade::delivery
