#include <serving/store_recovery_estimator.h>

#include <algorithm>

namespace camphorgrade::serving {

void store_recovery_estimator::on_start(time_point now) {
    began_ = now;
}

void store_recovery_estimator::on_contact(bool reachable, time_point now) {
    if (!reachable) {
        if (!out_since_) {
            out_since_ = last_answer_ ? last_answer_ : began_;
            out_since_ = out_since_.value_or(now);
        }
        return;
    }
    if (out_since_) {
        returned_ = now;
    }
    out_since_.reset();
    last_answer_ = now;
}

std::optional<time_point> store_recovery_estimator::out_since() const {
    // A call of a process that starts may hang for long before it fails.
    return out_since_ || last_answer_ ? out_since_ : began_;
}

time_point store_recovery_estimator::complete_by(time_point now) const {
    if (const auto since = out_since()) {
        return now + std::clamp(now - *since, settings_.startup_time, settings_.max_estimate);
    }
    const auto known = returned_ ? *returned_ + settings_.reregistration_time
                                 : began_.value_or(now) + settings_.startup_time;
    return std::max(now, known);
}

} // namespace camphorgrade::serving
