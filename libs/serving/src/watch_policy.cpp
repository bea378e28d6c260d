#include <serving/watch_policy.h>

namespace camphorgrade::serving {

bool watch_policy::should_watch(bool has_watching_peers, time_point now) {
    const bool has_recent_updates =
        has_watching_peers && confirmed_at_ && now - *confirmed_at_ < settings_.peer_update_expiry;
    if (!has_recent_updates) {
        stable_since_.reset();
        return true;
    }
    if (!stable_since_) {
        stable_since_ = now;
    }
    return now - *stable_since_ < settings_.stable_period;
}

} // namespace camphorgrade::serving
