#include <delivery/part_outbox.h>

#include <kernel/check.h>

#include <utility>

namespace camphorgrade::delivery {

part_outbox::part_outbox(duration resend_after) : resend_after_(resend_after) {
    CAMPHOR_PRECONDITION(resend_after > duration{0});
}

numbered_part part_outbox::add(part next, time_point now) {
    CAMPHOR_PRECONDITION(!complete_);
    complete_ = is_last(next);
    numbered_part numbered{next_++, std::move(next)};
    kept_.push_back({numbered, now});
    return numbered;
}

bool part_outbox::acknowledge(std::uint64_t next_sequence) {
    bool any = false;
    while (!kept_.empty() && kept_.front().content.sequence < next_sequence) {
        kept_.pop_front();
        any = true;
    }
    return any;
}

std::vector<numbered_part> part_outbox::due(time_point now) {
    std::vector<numbered_part> found;
    for (auto& each : kept_) {
        if (found.size() == max_resent) {
            break;
        }
        if (each.sent + resend_after_ > now) {
            continue;
        }
        each.sent = now;
        found.push_back(each.content);
    }
    return found;
}

std::vector<numbered_part> part_outbox::again(time_point now) {
    std::vector<numbered_part> found;
    for (auto& each : kept_) {
        if (found.size() == max_resent) {
            break;
        }
        each.sent = now;
        found.push_back(each.content);
    }
    return found;
}

} // namespace camphorgrade::delivery
