#include <delivery/drain.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::delivery {

drain::drain(drain_settings settings) : settings_(settings) {
    CAMPHOR_PRECONDITION(settings.announce_for >= duration{0});
    CAMPHOR_PRECONDITION(settings.hand_over_limit >= duration{0});
    CAMPHOR_PRECONDITION(settings.linger >= duration{0});
    CAMPHOR_PRECONDITION(settings.limit >= settings.announce_for);
}

bool drain::accepts_new() const noexcept {
    return state_ == drain_state::serving || state_ == drain_state::announcing;
}

void drain::begin(std::uint64_t running, time_point now) {
    if (leaving()) {
        return;
    }
    state_ = drain_state::announcing;
    running_ = running;
    begun_ = now;
    move_on(now);
}

void drain::on_running(std::uint64_t running, time_point now) {
    running_ = running;
    move_on(now);
}

void drain::on_time(time_point now) {
    move_on(now);
}

void drain::on_handed_over() {
    handed_over_ = handed_over_ || state_ == drain_state::handing_over;
    move_on(last_);
}

void drain::move_on(time_point now) {
    last_ = now;
    if (state_ == drain_state::announcing && now >= begun_ + settings_.announce_for) {
        state_ = drain_state::draining;
    }
    if (state_ == drain_state::draining) {
        const bool late = now >= begun_ + settings_.limit;
        if (running_ == 0 || late) {
            cut_ = running_;
            state_ = drain_state::handing_over;
            handing_since_ = now;
        }
    }
    if (state_ == drain_state::handing_over && now >= next_wake()) {
        state_ = drain_state::stopped;
    }
}

time_point drain::next_wake() const {
    CAMPHOR_PRECONDITION(leaving() && state_ != drain_state::stopped);
    if (state_ == drain_state::announcing) {
        return begun_ + settings_.announce_for;
    }
    if (state_ == drain_state::draining) {
        return begun_ + settings_.limit;
    }
    const time_point handed =
        handed_over_ ? handing_since_ : handing_since_ + settings_.hand_over_limit;
    return std::max(handed, begun_ + settings_.linger);
}

} // namespace camphorgrade::delivery
