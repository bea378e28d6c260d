#include <serving/checkpoint_schedule.h>

#include <kernel/scaled.h>

#include <algorithm>

namespace camphorgrade::serving {

checkpoint_schedule::checkpoint_schedule(checkpoint_schedule_settings settings, double delay_share)
    : settings_(settings), delay_share_(delay_share), retry_delay_(settings.min_retry_delay) {}

duration checkpoint_schedule::spread() const {
    return scaled(settings_.spread, delay_share_);
}

void checkpoint_schedule::on_checkpoint(const checkpoint_state& state, time_point now) {
    if (state <= known_) {
        return;
    }
    known_ = state;
    retry_delay_ = settings_.min_retry_delay;
    due_ = now + settings_.interval + spread();
}

void checkpoint_schedule::on_history_lost(time_point now) {
    due_ = std::min(due_, now + spread());
}

void checkpoint_schedule::on_conflict(const std::optional<checkpoint_state>& present,
                                      time_point now) {
    if (present && present->position > known_.position) {
        on_checkpoint(*present, now);
        return;
    }
    // An older state, or none, after the store's return from a copy: it is to be replaced.
    known_.record_revision = present ? present->record_revision : 0;
    on_write_failed(now);
}

void checkpoint_schedule::on_write_failed(time_point now) {
    due_ = now + retry_delay_ + spread();
    retry_delay_ = std::min(retry_delay_ * 2, settings_.max_retry_delay);
}

} // namespace camphorgrade::serving
