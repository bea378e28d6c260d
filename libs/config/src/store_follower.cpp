#include <config/store_follower.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::config {
namespace {

constexpr token tag_bits = 4;

/** Between half of `span` and all of it, so that processes spread out. */
duration jittered(duration span, step& now) {
    const auto half = static_cast<std::uint64_t>(std::max<duration::rep>(span.count() / 2, 1));
    return span - duration{static_cast<duration::rep>(now.random().below(half))};
}

} // namespace

store_follower::store_follower(std::string service, token tag, kv_range range,
                               follower_timing timing)
    : service_(std::move(service)), tag_(tag), range_(std::move(range)), timing_(timing),
      backoff_(timing.retry) {
    CAMPHOR_PRECONDITION(tag <= tag_mask);
}

void store_follower::tick(bool watch, step& now) {
    watching_ = watch;
    if (under_way_ || now.time() < not_before_) {
        return;
    }
    const bool read_due = !next_read_ || now.time() >= *next_read_;
    if (watch && position_ > 0) {
        call(kv_watch{range_.key, range_.range_end, position_}, now);
    } else if (watch || read_due) {
        call(range_, now);
    }
}

void store_follower::call(kv_request request, step& now) {
    under_way_ = next_++ << tag_bits | tag_;
    ++calls_;
    now.emit(call_kv{service_, *under_way_, std::move(request)});
}

std::vector<kv_entry> store_follower::on_reply(token id, const kv_reply& reply, step& now) {
    CAMPHOR_PRECONDITION(owns(id));
    if (under_way_ != id) {
        return {};
    }
    under_way_.reset();
    if (const auto* found = std::get_if<kv_range_result>(&reply)) {
        answered(now);
        position_ = found->revision + 1;
        return found->entries;
    }
    const auto* changes = std::get_if<kv_watch_result>(&reply);
    if (changes == nullptr) {
        failed(now);
        return {};
    }
    answered(now);
    std::vector<kv_entry> written;
    for (const kv_watch_event& each : changes->events) {
        position_ = std::max(position_, each.entry.mod_revision + 1);
        if (!each.deleted) {
            written.push_back(each.entry);
        }
    }
    if (changes->compacted) {
        position_ = 0;
    }
    return written;
}

void store_follower::answered(step& now) {
    in_contact_ = true;
    backoff_ = timing_.retry;
    next_read_ = now.time() + jittered(timing_.slow_poll, now);
}

void store_follower::read_soon(step& now) {
    position_ = 0;
    next_read_ = now.time();
}

void store_follower::failed(step& now) {
    in_contact_ = false;
    not_before_ = now.time() + jittered(backoff_, now);
    backoff_ = std::min(backoff_ * 2, watching_ ? timing_.watcher_retry : timing_.other_retry);
}

} // namespace camphorgrade::config
