#pragma once

#include <kernel/clock.h>
#include <kernel/kv.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace camphorgrade {

/** Bounds of a memory_store. */
struct memory_store_settings {
    /** Changes kept for watches; a watch from before them is told that they are compacted. */
    std::size_t history_limit = 100'000;

    friend bool operator==(const memory_store_settings&, const memory_store_settings&) = default;
};

/**
 * The key-value service's published semantics in memory: revisions, transactions, leases, watches.
 *
 * Deterministic: the same calls with the same times give the same replies; leases are numbered from
 * one. Revisions start at 1 and go up by one for each transaction that changes something. Not
 * thread safe. Times must not go back.
 *
 * @code
 * camphorgrade::memory_store store;
 * const camphorgrade::kv_txn create{{{"k", 0}}, {camphorgrade::kv_put{"k", "v", 0}}, {}};
 * const auto reply = store.apply(create, now);
 * const auto seen = store.changes_since("k", "", 2);
 * @endcode
 */
class memory_store {
public:
    explicit memory_store(memory_store_settings settings = {});

    /**
     * Runs one request at `now`; leases that have run out by then end first.
     *
     * A request that the service would refuse (unknown lease, a key written twice in one
     * transaction, a lease without a time to live or with one above 9e9 seconds) comes back as
     * kv_failure not_applied. A watch answers at once with what is there, so an empty reply means
     * "nothing yet".
     */
    kv_reply apply(const kv_request& request, time_point now);

    /** Ends the leases that have run out by `now`, in order of their deadlines, with their keys. */
    void expire(time_point now);

    /** When the next lease runs out; empty without leases. */
    std::optional<time_point> next_expiry() const;

    /** Changes of [key, range_end) from `start_revision` on, oldest first; 0 means from now on. */
    kv_watch_result changes_since(const std::string& key, const std::string& range_end,
                                  std::int64_t start_revision) const;

    /** Revision of the last change. */
    std::int64_t revision() const noexcept { return revision_; }

private:
    struct lease_state {
        std::int64_t ttl_s = 0;
        time_point deadline{};
        std::set<std::string> keys;
    };

    kv_reply run(const kv_range& request, time_point now) const;
    kv_reply run(const kv_txn& request, time_point now);
    kv_reply run(const kv_lease_grant& request, time_point now);
    kv_reply run(const kv_lease_keep_alive& request, time_point now);
    kv_reply run(const kv_lease_revoke& request, time_point now);
    kv_reply run(const kv_watch& request, time_point now) const;

    bool holds(const kv_compare& compare) const;
    bool is_acceptable(const std::vector<kv_operation>& operations) const;
    kv_range_result range(const kv_range& request) const;
    void put(const kv_put& request, std::int64_t at_revision);
    void remove(const kv_delete& request, std::int64_t at_revision);
    void remove_key(const std::string& key, std::int64_t at_revision);
    void detach(const kv_entry& entry);
    void end_lease(std::int64_t lease);
    void record(kv_watch_event change);

    memory_store_settings settings_;
    std::map<std::string, kv_entry> entries_;
    std::map<std::int64_t, lease_state> leases_;
    std::deque<kv_watch_event> history_;
    std::int64_t revision_ = 1;
    std::int64_t compacted_revision_ = 0;
    std::int64_t last_lease_ = 0;
};

} // namespace camphorgrade
