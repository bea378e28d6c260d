#include <serving/watch_policy.h>

namespace camphorgrade::serving {

bool watch_policy::should_watch(bool has_watchers, time_point now) {
    const bool is_told =
        has_watchers && known_at_ && now - *known_at_ < settings_.peer_update_expiry;
    if (!is_told) {
        steady_since_.reset();
        return true;
    }
    if (!steady_since_) {
        steady_since_ = now;
    }
    return now - *steady_since_ < settings_.stable_period;
}

} // namespace camphorgrade::serving
