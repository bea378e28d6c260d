#include "key_interval.h"

#include <kernel/check.h>
#include <kvstore/memory_store.h>

#include <algorithm>
#include <utility>

namespace camphorgrade {

namespace {

/** Longest lease that the published service grants. */
constexpr std::int64_t longest_ttl_s = 9'000'000'000;

constexpr kv_failure refused{kv_failure_kind::not_applied};

/** The same key may not be written twice at one revision. */
bool writes_keys_once(const std::vector<kv_operation>& operations) {
    std::set<std::string> written;
    for (const kv_operation& operation : operations) {
        const auto* put = std::get_if<kv_put>(&operation);
        if (put != nullptr && !written.insert(put->key).second) {
            return false;
        }
    }
    return std::none_of(operations.begin(), operations.end(), [&](const kv_operation& operation) {
        const auto* erased = std::get_if<kv_delete>(&operation);
        return erased != nullptr &&
               std::any_of(written.begin(), written.end(), [&](const std::string& key) {
                   return is_in_interval(key, erased->key, erased->range_end);
               });
    });
}

} // namespace

memory_store::memory_store(memory_store_settings settings) : settings_(settings) {
    CAMPHOR_PRECONDITION(settings.history_limit > 0);
}

kv_reply memory_store::apply(const kv_request& request, time_point now) {
    expire(now);
    return std::visit([&](const auto& each) -> kv_reply { return run(each, now); }, request);
}

void memory_store::expire(time_point now) {
    for (;;) {
        const auto first = std::min_element(leases_.begin(), leases_.end(),
                                            [](const auto& left, const auto& right) {
                                                return left.second.deadline < right.second.deadline;
                                            });
        if (first == leases_.end() || first->second.deadline > now) {
            return;
        }
        end_lease(first->first);
    }
}

std::optional<time_point> memory_store::next_expiry() const {
    std::optional<time_point> next;
    for (const auto& [id, lease] : leases_) {
        next = next ? std::min(*next, lease.deadline) : lease.deadline;
    }
    return next;
}

kv_watch_result memory_store::changes_since(const std::string& key, const std::string& range_end,
                                            std::int64_t start_revision) const {
    kv_watch_result result;
    result.revision = revision_;
    const std::int64_t from = start_revision == 0 ? revision_ + 1 : start_revision;
    if (from <= compacted_revision_) {
        result.compacted = true;
        return result;
    }
    auto change = std::lower_bound(history_.begin(), history_.end(), from,
                                   [](const kv_watch_event& event, std::int64_t revision) {
                                       return event.entry.mod_revision < revision;
                                   });
    for (; change != history_.end(); ++change) {
        if (is_in_interval(change->entry.key, key, range_end)) {
            result.events.push_back(*change);
        }
    }
    return result;
}

kv_reply memory_store::run(const kv_range& request, time_point /*now*/) const {
    return range(request);
}

kv_reply memory_store::run(const kv_txn& request, time_point /*now*/) {
    if (!is_acceptable(request.success) || !is_acceptable(request.failure)) {
        return refused;
    }
    kv_txn_result result;
    result.succeeded = std::all_of(request.compares.begin(), request.compares.end(),
                                   [&](const kv_compare& compare) { return holds(compare); });
    const std::int64_t at_revision = revision_ + 1;
    for (const kv_operation& operation : result.succeeded ? request.success : request.failure) {
        if (const auto* wanted = std::get_if<kv_range>(&operation)) {
            result.ranges.push_back(range(*wanted));
        } else if (const auto* written = std::get_if<kv_put>(&operation)) {
            put(*written, at_revision);
        } else {
            remove(std::get<kv_delete>(operation), at_revision);
        }
    }
    result.revision = revision_;
    return result;
}

kv_reply memory_store::run(const kv_lease_grant& request, time_point now) {
    if (request.ttl_s <= 0 || request.ttl_s > longest_ttl_s) {
        return refused;
    }
    const std::int64_t id = ++last_lease_;
    leases_[id] = lease_state{request.ttl_s, now + std::chrono::seconds(request.ttl_s), {}};
    return kv_lease_result{id, request.ttl_s};
}

kv_reply memory_store::run(const kv_lease_keep_alive& request, time_point now) {
    const auto found = leases_.find(request.lease);
    if (found == leases_.end()) {
        return kv_lease_result{request.lease, 0};
    }
    found->second.deadline = now + std::chrono::seconds(found->second.ttl_s);
    return kv_lease_result{request.lease, found->second.ttl_s};
}

kv_reply memory_store::run(const kv_lease_revoke& request, time_point /*now*/) {
    if (leases_.contains(request.lease)) {
        end_lease(request.lease);
    }
    return kv_lease_result{request.lease, 0};
}

kv_reply memory_store::run(const kv_watch& request, time_point /*now*/) const {
    return changes_since(request.key, request.range_end, request.start_revision);
}

bool memory_store::holds(const kv_compare& compare) const {
    const auto found = entries_.find(compare.key);
    const std::int64_t revision = found == entries_.end() ? 0 : found->second.mod_revision;
    return revision == compare.mod_revision;
}

bool memory_store::is_acceptable(const std::vector<kv_operation>& operations) const {
    const bool leases_exist =
        std::all_of(operations.begin(), operations.end(), [&](const kv_operation& operation) {
            const auto* written = std::get_if<kv_put>(&operation);
            return written == nullptr || written->lease == 0 || leases_.contains(written->lease);
        });
    return leases_exist && writes_keys_once(operations);
}

kv_range_result memory_store::range(const kv_range& request) const {
    kv_range_result result;
    result.revision = revision_;
    for (auto each = entries_.lower_bound(request.key);
         each != entries_.end() && is_in_interval(each->first, request.key, request.range_end);
         ++each) {
        result.entries.push_back(each->second);
    }
    return result;
}

void memory_store::put(const kv_put& request, std::int64_t at_revision) {
    kv_entry& entry = entries_[request.key];
    detach(entry);
    entry.key = request.key;
    entry.value = request.value;
    entry.lease = request.lease;
    entry.mod_revision = at_revision;
    if (entry.create_revision == 0) {
        entry.create_revision = at_revision;
    }
    if (request.lease != 0) {
        leases_.at(request.lease).keys.insert(request.key);
    }
    record({false, entry});
}

void memory_store::remove(const kv_delete& request, std::int64_t at_revision) {
    for (const kv_entry& entry : range({request.key, request.range_end}).entries) {
        remove_key(entry.key, at_revision);
    }
}

void memory_store::remove_key(const std::string& key, std::int64_t at_revision) {
    const auto found = entries_.find(key);
    CAMPHOR_INVARIANT(found != entries_.end());
    detach(found->second);
    entries_.erase(found);
    kv_entry tombstone;
    tombstone.key = key;
    tombstone.mod_revision = at_revision;
    record({true, std::move(tombstone)});
}

void memory_store::detach(const kv_entry& entry) {
    const auto lease = leases_.find(entry.lease);
    if (lease != leases_.end()) {
        lease->second.keys.erase(entry.key);
    }
}

void memory_store::end_lease(std::int64_t lease) {
    const auto found = leases_.find(lease);
    CAMPHOR_INVARIANT(found != leases_.end());
    const std::set<std::string> keys = std::move(found->second.keys);
    leases_.erase(found);
    const std::int64_t at_revision = revision_ + 1;
    for (const std::string& key : keys) {
        remove_key(key, at_revision);
    }
}

void memory_store::record(kv_watch_event change) {
    revision_ = change.entry.mod_revision;
    history_.push_back(std::move(change));
    // Watches from a revision of which anything is dropped are told that it is compacted.
    while (history_.size() > settings_.history_limit &&
           history_.front().entry.mod_revision < revision_) {
        compacted_revision_ = history_.front().entry.mod_revision;
        history_.pop_front();
    }
}

} // namespace camphorgrade
