#include <serving/store_outlook.h>

#include <algorithm>

namespace camphorgrade::serving {

void store_outlook::begin(time_point now) {
    began_ = now;
}

void store_outlook::on_contact(bool reachable, time_point now) {
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

std::optional<time_point> store_outlook::out_since() const {
    // A call of a process that starts may hang for long before it fails.
    return out_since_ || last_answer_ ? out_since_ : began_;
}

time_point store_outlook::complete_by(time_point now) const {
    if (const auto since = out_since()) {
        return now + std::clamp(now - *since, settings_.start_time, settings_.longest_guess);
    }
    const auto known = returned_ ? *returned_ + settings_.return_time
                                 : began_.value_or(now) + settings_.start_time;
    return std::max(now, known);
}

} // namespace camphorgrade::serving
