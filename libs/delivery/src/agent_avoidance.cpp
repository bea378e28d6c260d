#include <delivery/agent_avoidance.h>

#include <algorithm>

namespace camphorgrade::delivery {

void agent_avoidance::on_failed(const node_id& agent, time_point now, random_source& random) {
    failing_agent& failing = failing_[agent];
    if (now < failing.until && !failing.probing) {
        return;
    }
    // At least half of the base, or a short wait would let a whole burst through.
    failing.until = now + settings_.base / 2 + draw_backoff(settings_, failing.failures, random);
    ++failing.failures;
    failing.probing = false;
}

bool agent_avoidance::avoided(const node_id& agent, time_point now) const {
    const auto found = failing_.find(agent);
    return found != failing_.end() && now < found->second.until;
}

void agent_avoidance::on_chosen(const node_id& agent, time_point now) {
    const auto found = failing_.find(agent);
    if (found != failing_.end()) {
        found->second.until = std::max(found->second.until, now + settings_.base / 2);
        found->second.probing = true;
    }
}

} // namespace camphorgrade::delivery
