#pragma once

#include <delivery/backoff.h>
#include <kernel/clock.h>
#include <kernel/ids.h>
#include <kernel/random.h>

#include <map>

namespace camphorgrade::delivery {

/**
 * Remembers which agents just failed a gateway, so that its next requests go elsewhere without
 * spending a retry each. After a wait one request tries the agent again; waits double with full
 * jitter. Advice only: when all agents are to be avoided, the choice is free. Not thread safe.
 *
 * @code
 * agent_avoidance avoidance({duration{200}, duration{5'000}});
 * avoidance.on_failed(agent, now, random);       // refused backend_down, or silent
 * if (!avoidance.avoided(agent, now)) { candidates.push_back(agent); }
 * avoidance.on_answered(agent);                  // a head or an end arrived
 * @endcode
 */
class agent_avoidance {
public:
    /** Preconditions: those of draw_backoff. */
    explicit agent_avoidance(backoff_settings settings) : settings_(settings) {}

    /** An attempt on the agent failed. Failures within a wait count once. */
    void on_failed(const node_id& agent, time_point now, random_source& random);

    /** An attempt on the agent was answered: it is well again. */
    void on_answered(const node_id& agent) { failing_.erase(agent); }

    /** Whether to choose another agent if there is one. */
    bool avoided(const node_id& agent, time_point now) const;

    /** The agent was chosen: the next request does not try it before this one's outcome. */
    void on_chosen(const node_id& agent, time_point now);

private:
    struct failing_agent {
        unsigned failures = 0;
        time_point until;
        bool probing = false; /**< One request tries it at present. */
    };

    backoff_settings settings_;
    std::map<node_id, failing_agent> failing_;
};

} // namespace camphorgrade::delivery
