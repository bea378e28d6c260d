#include <membership/freshness.h>

#include <kernel/check.h>
#include <membership/epoch_record.h>

#include <algorithm>
#include <functional>
#include <vector>

namespace camphorgrade::membership {

freshness::freshness(duration validity) : validity_(validity) {
    CAMPHOR_PRECONDITION(validity > duration::zero());
}

void freshness::set_witness_count(std::size_t count) {
    witness_count_ = count;
    granted_.clear();
}

void freshness::granted(const node_id& witness, time_point sent_at) {
    time_point& latest = granted_.try_emplace(witness, sent_at).first->second;
    latest = std::max(latest, sent_at);
    const std::size_t needed = majority(witness_count_);
    if (granted_.size() < needed) {
        return;
    }
    std::vector<time_point> times;
    for (const auto& [each, at] : granted_) {
        times.push_back(at);
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    const time_point until = times[needed - 1] + validity_;
    valid_until_ = std::max(valid_until_.value_or(until), until);
}

void freshness::drop() {
    granted_.clear();
    valid_until_.reset();
}

} // namespace camphorgrade::membership
