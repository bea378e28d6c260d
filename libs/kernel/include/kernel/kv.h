#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/**
 * @file
 * Requests to the platform's key-value service and their replies, modelled on the etcd v3 API: the
 * revision is a counter of the whole store, and a transaction compares and applies atomically.
 * All are value types.
 */
namespace camphorgrade {

/** One key with its value and metadata. */
struct kv_entry {
    std::string key;
    std::string value;
    std::int64_t mod_revision = 0;    /**< Store revision of the last write of this key. */
    std::int64_t create_revision = 0; /**< Store revision of the write that created this key. */
    std::int64_t lease = 0;           /**< Lease whose end deletes the key; 0 for none. */

    friend bool operator==(const kv_entry&, const kv_entry&) = default;
};

/** Reads `key`, or all keys in [key, range_end) when `range_end` is not empty. */
struct kv_range {
    std::string key;
    std::string range_end;

    friend bool operator==(const kv_range&, const kv_range&) = default;
};

/** Writes one key and attaches it to `lease`; 0 for no lease. */
struct kv_put {
    std::string key;
    std::string value;
    std::int64_t lease = 0;

    friend bool operator==(const kv_put&, const kv_put&) = default;
};

/** Deletes `key`, or all keys in [key, range_end). */
struct kv_delete {
    std::string key;
    std::string range_end;

    friend bool operator==(const kv_delete&, const kv_delete&) = default;
};

using kv_operation = std::variant<kv_range, kv_put, kv_delete>;

/** True if the last write of `key` was at `mod_revision`; 0 if the key must not exist. */
struct kv_compare {
    std::string key;
    std::int64_t mod_revision = 0;

    friend bool operator==(const kv_compare&, const kv_compare&) = default;
};

/** Applies `success` atomically if every comparison is true, otherwise `failure`. */
struct kv_txn {
    std::vector<kv_compare> compares;
    std::vector<kv_operation> success;
    std::vector<kv_operation> failure;

    friend bool operator==(const kv_txn&, const kv_txn&) = default;
};

/** Requests a new lease; the store assigns its id. */
struct kv_lease_grant {
    std::int64_t ttl_s = 0;

    friend bool operator==(const kv_lease_grant&, const kv_lease_grant&) = default;
};

/** Renews a lease for its full time to live. */
struct kv_lease_keep_alive {
    std::int64_t lease = 0;

    friend bool operator==(const kv_lease_keep_alive&, const kv_lease_keep_alive&) = default;
};

/** Ends a lease at once and deletes its keys. */
struct kv_lease_revoke {
    std::int64_t lease = 0;

    friend bool operator==(const kv_lease_revoke&, const kv_lease_revoke&) = default;
};

/**
 * Waits for changes in [key, range_end) from `start_revision` on. The reply holds the first
 * changes; the service then sends the next request from the revision after them. An empty reply
 * means that the wait timed out.
 */
struct kv_watch {
    std::string key;
    std::string range_end;
    std::int64_t start_revision = 0;

    friend bool operator==(const kv_watch&, const kv_watch&) = default;
};

using kv_request =
    std::variant<kv_range, kv_txn, kv_lease_grant, kv_lease_keep_alive, kv_lease_revoke, kv_watch>;

/** Entries found by a kv_range, in key order. */
struct kv_range_result {
    std::int64_t revision = 0;
    std::vector<kv_entry> entries;

    friend bool operator==(const kv_range_result&, const kv_range_result&) = default;
};

/** Result of a transaction; `ranges` has one item for each kv_range of the applied branch. */
struct kv_txn_result {
    bool succeeded = false; /**< Whether the comparisons were true and `success` was applied. */
    std::int64_t revision = 0;
    std::vector<kv_range_result> ranges;

    friend bool operator==(const kv_txn_result&, const kv_txn_result&) = default;
};

/** State of a lease; `ttl_s` is 0 or less if the lease no longer exists. */
struct kv_lease_result {
    std::int64_t lease = 0;
    std::int64_t ttl_s = 0;

    friend bool operator==(const kv_lease_result&, const kv_lease_result&) = default;
};

/** One change reported by a watch. */
struct kv_watch_event {
    bool deleted = false;
    kv_entry entry;

    friend bool operator==(const kv_watch_event&, const kv_watch_event&) = default;
};

/**
 * Changes reported by a watch, oldest first. `compacted` means that the store no longer has the
 * revisions from `start_revision` on, so the watcher must read the whole range again.
 */
struct kv_watch_result {
    std::int64_t revision = 0;
    bool compacted = false;
    std::vector<kv_watch_event> events;

    friend bool operator==(const kv_watch_result&, const kv_watch_result&) = default;
};

/** Whether a call without a reply may have taken effect. */
enum class kv_failure_kind {
    not_applied, /**< The request can't have taken effect: the connection or the request was
                    refused. */
    ambiguous    /**< Sent without a reply: the request may have taken effect or may do so
                    later. Read the keys to find out. */
};

/** A call ended without a reply. */
struct kv_failure {
    kv_failure_kind kind = kv_failure_kind::ambiguous;

    friend bool operator==(const kv_failure&, const kv_failure&) = default;
};

using kv_reply =
    std::variant<kv_range_result, kv_txn_result, kv_lease_result, kv_watch_result, kv_failure>;

/**
 * The first key after all keys that begin with `prefix`, for use as `range_end`. It is "\0", which
 * stands for the end of the store, if no such key exists.
 */
std::string kv_prefix_end(const std::string& prefix);

} // namespace camphorgrade
