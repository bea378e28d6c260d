#include <serving/store_recovery_estimator.h>

#include <algorithm>

namespace camphorgrade::serving {

void store_recovery_estimator::on_start(time_point now) {
    started_at_ = now;
}

void store_recovery_estimator::on_contact(bool reachable, time_point now) {
    if (!reachable) {
        if (!outage_start_) {
            outage_start_ = last_response_ ? last_response_ : started_at_;
            outage_start_ = outage_start_.value_or(now);
        }
        return;
    }
    if (outage_start_) {
        outage_end_ = now;
    }
    outage_start_.reset();
    last_response_ = now;
}

std::optional<time_point> store_recovery_estimator::outage_start() const {
    // A call of a starting process may hang for a long time before it fails.
    return outage_start_ || last_response_ ? outage_start_ : started_at_;
}

time_point store_recovery_estimator::complete_by(time_point now) const {
    if (const auto start = outage_start()) {
        return now + std::clamp(now - *start, settings_.startup_time, settings_.max_estimate);
    }
    const auto complete_at = outage_end_ ? *outage_end_ + settings_.reregistration_time
                                         : started_at_.value_or(now) + settings_.startup_time;
    return std::max(now, complete_at);
}

} // namespace camphorgrade::serving
