#include <delivery/group_commit.h>

#include <kernel/check.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorgrade::delivery {

namespace {

constexpr token wake_token = 0;
constexpr token lease_token = 1;
constexpr token write_token = 2;
constexpr token look_up_token = 3;

/** Failed writes in a row after which the lease itself is in doubt. */
constexpr unsigned distrust_lease_after = 3;

std::size_t size_of(const cas_write& write) {
    return write.key.size() + (write.value ? write.value->size() : 0);
}

kv_operation operation_of(const cas_write& write, std::int64_t lease) {
    if (write.value) {
        return kv_put{write.key, *write.value, lease};
    }
    return kv_delete{write.key, {}};
}

std::optional<kv_entry> entry_of(const kv_range_result& range) {
    return range.entries.empty() ? std::nullopt : std::optional(range.entries.front());
}

} // namespace

group_commit::group_commit(std::string service, group_commit_settings settings)
    : service_(std::move(service)), settings_(settings),
      lease_(service_, lease_token, settings.lease) {
    CAMPHOR_PRECONDITION(settings.most_writes > 0);
    CAMPHOR_PRECONDITION(settings.interval >= duration{0});
    CAMPHOR_PRECONDITION(settings.burst > 0);
}

void group_commit::start(step& now) {
    lease_.refresh(now);
}

void group_commit::submit(cas_write write, write_urgency urgency, step& now) {
    CAMPHOR_PRECONDITION(size_of(write) <= settings_.most_bytes);
    auto& queue = urgency == write_urgency::soon ? soon_ : lazy_;
    queue.push_back({std::move(write), urgency, now.time()});
    pump(now);
}

bool group_commit::withdraw(const std::string& key) {
    const auto same_key = [&](const queued_write& each) { return each.write.key == key; };
    return std::erase_if(soon_, same_key) + std::erase_if(lazy_, same_key) > 0;
}

void group_commit::look_up(const std::string& key, step& now) {
    if (std::find(look_ups_.begin(), look_ups_.end(), key) == look_ups_.end()) {
        look_ups_.push_back(key);
    }
    look_up_batch(now);
}

bool group_commit::idle() const noexcept {
    return soon_.empty() && lazy_.empty() && lane_ == lane_state::free;
}

store_counts group_commit::counts() const noexcept {
    store_counts counts = counts_;
    counts.grants = lease_.grants();
    return counts;
}

cas_results group_commit::on_timer(token id, step& now) {
    if (id == wake_token) {
        wake_.reset();
        pump(now);
        look_up_batch(now);
    }
    return {};
}

cas_results group_commit::on_kv_reply(token id, const kv_reply& reply, step& now) {
    cas_results out;
    if (id == lease_token) {
        lease_.on_reply(reply, now);
    } else if (id == write_token) {
        on_write_reply(reply, now, out);
    } else if (id == look_up_token) {
        on_look_up_reply(reply, out, now);
    }
    pump(now);
    look_up_batch(now);
    return out;
}

time_point group_commit::write_due() const {
    const duration credit = (settings_.burst - 1) * settings_.interval;
    time_point due = std::max(not_before_, paid_until_ - credit);
    const bool can_wait = soon_.empty() && lazy_.size() < settings_.most_writes;
    if (can_wait) {
        due = std::max(due, lazy_.front().since + settings_.lazy_delay);
    }
    return due;
}

void group_commit::pump(step& now) {
    if (lane_ == lane_state::read_back_due) {
        if (now.time() >= not_before_) {
            read_back(now);
        } else {
            wake(not_before_, now);
        }
        return;
    }
    if (lane_ != lane_state::free || (soon_.empty() && lazy_.empty())) {
        return;
    }
    const time_point due = write_due();
    if (now.time() < due) {
        wake(due, now);
        return;
    }
    lease_.refresh(now);
    const std::optional<std::int64_t> lease = lease_.usable(now.time());
    if (!lease) {
        if (now.time() < lease_.next_try()) {
            wake(lease_.next_try(), now);
        }
        return;
    }
    write_batch(*lease, now);
}

void group_commit::take_batch() {
    std::size_t bytes = 0;
    for (auto* queue : {&soon_, &lazy_}) {
        while (!queue->empty() && batch_.size() < settings_.most_writes) {
            bytes += size_of(queue->front().write);
            if (bytes > settings_.most_bytes && !batch_.empty()) {
                return;
            }
            batch_.push_back(std::move(queue->front()));
            queue->pop_front();
        }
    }
}

void group_commit::write_batch(std::int64_t lease, step& now) {
    take_batch();
    kv_txn txn;
    for (const auto& each : batch_) {
        txn.compares.push_back({each.write.key, each.write.expected_revision});
        txn.success.push_back(operation_of(each.write, lease));
        txn.failure.emplace_back(kv_range{each.write.key, {}});
    }
    lane_ = lane_state::writing;
    paid_until_ = std::max(paid_until_, now.time()) + settings_.interval;
    ++counts_.writes;
    now.emit(call_kv{service_, write_token, std::move(txn)});
}

void group_commit::read_back(step& now) {
    kv_txn txn;
    for (const auto& each : batch_) {
        txn.success.emplace_back(kv_range{each.write.key, {}});
    }
    lane_ = lane_state::reading_back;
    ++counts_.reads;
    now.emit(call_kv{service_, write_token, std::move(txn)});
}

void group_commit::on_write_reply(const kv_reply& reply, step& now, cas_results& out) {
    const bool was_read = lane_ == lane_state::reading_back;
    if (const auto* done = std::get_if<kv_txn_result>(&reply)) {
        failures_ = 0;
        lane_ = lane_state::free;
        if (done->succeeded && !was_read) {
            for (const auto& each : batch_) {
                out.push_back({each.write.key, true, done->revision, std::nullopt, false});
            }
            batch_.clear();
            lost_in_row_ = 0;
        } else {
            const std::size_t results = out.size();
            sort_found(*done, out);
            lost_in_row_ = was_read && out.size() == results ? lost_in_row_ + 1 : 0;
        }
        if (lost_in_row_ >= distrust_lease_after) {
            lease_.distrust();
        }
        return;
    }
    const auto* failure = std::get_if<kv_failure>(&reply);
    const bool provably_not = failure != nullptr && failure->kind == kv_failure_kind::not_applied;
    not_before_ = now.time() + draw_backoff(settings_.backoff, failures_, now.random());
    ++failures_;
    if (provably_not && failures_ >= distrust_lease_after) {
        lease_.distrust();
    }
    if (provably_not && !was_read) {
        requeue();
    } else {
        lane_ = lane_state::read_back_due;
    }
}

void group_commit::sort_found(const kv_txn_result& found, cas_results& out) {
    CAMPHOR_INVARIANT(found.ranges.size() == batch_.size());
    std::vector<queued_write> again;
    for (std::size_t i = 0; i < batch_.size(); ++i) {
        std::optional<kv_entry> entry = entry_of(found.ranges[i]);
        const std::int64_t revision = entry ? entry->mod_revision : 0;
        if (revision == batch_[i].write.expected_revision) {
            again.push_back(std::move(batch_[i]));
        } else {
            out.push_back({batch_[i].write.key, false, 0, std::move(entry), false});
        }
    }
    batch_ = std::move(again);
    requeue();
}

void group_commit::requeue() {
    lane_ = lane_state::free;
    for (auto each = batch_.rbegin(); each != batch_.rend(); ++each) {
        auto& queue = each->urgency == write_urgency::soon ? soon_ : lazy_;
        queue.push_front(std::move(*each));
    }
    batch_.clear();
}

void group_commit::look_up_batch(step& now) {
    if (!looking_up_.empty() || look_ups_.empty()) {
        return;
    }
    if (now.time() < look_up_after_) {
        wake(look_up_after_, now);
        return;
    }
    kv_txn txn;
    while (!look_ups_.empty() && looking_up_.size() < settings_.most_writes) {
        txn.success.emplace_back(kv_range{look_ups_.front(), {}});
        looking_up_.push_back(std::move(look_ups_.front()));
        look_ups_.pop_front();
    }
    ++counts_.reads;
    now.emit(call_kv{service_, look_up_token, std::move(txn)});
}

void group_commit::on_look_up_reply(const kv_reply& reply, cas_results& out, step& now) {
    const std::vector<std::string> keys = std::exchange(looking_up_, {});
    const auto* found = std::get_if<kv_txn_result>(&reply);
    if (found == nullptr || found->ranges.size() != keys.size()) {
        look_ups_.insert(look_ups_.end(), keys.begin(), keys.end());
        look_up_after_ = now.time() + draw_backoff(settings_.backoff, 2, now.random());
        return;
    }
    for (std::size_t i = 0; i < keys.size(); ++i) {
        out.push_back({keys[i], false, 0, entry_of(found->ranges[i]), true});
    }
}

void group_commit::wake(time_point at, step& now) {
    if (wake_ && *wake_ > now.time() && *wake_ <= at) {
        return;
    }
    wake_ = at;
    now.emit(set_timer{service_, wake_token, at});
}

} // namespace camphorgrade::delivery
