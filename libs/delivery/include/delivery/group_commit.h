#pragma once

#include <delivery/backoff.h>
#include <delivery/bucket_lease.h>
#include <kernel/event.h>
#include <kernel/step.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::delivery {

/** Writes or deletes one key if its last write was at `expected_revision` (0: no such key). */
struct cas_write {
    std::string key;
    std::int64_t expected_revision = 0;
    std::optional<std::string> value; /**< nullopt deletes. */

    friend bool operator==(const cas_write&, const cas_write&) = default;
};

/** How long a write may wait for others to share its transaction. */
enum class write_urgency : std::uint8_t { soon, lazy };

/** What became of a cas_write or a look-up. */
struct cas_result {
    std::string key;
    bool applied = false;
    std::int64_t revision = 0;     /**< Of the write, if applied. */
    std::optional<kv_entry> found; /**< What is there instead, if not applied or only looked up. */
    bool looked_up = false;

    friend bool operator==(const cas_result&, const cas_result&) = default;
};

using cas_results = std::vector<cas_result>;

/** Bounds of a group_commit. A value type. */
struct group_commit_settings {
    duration interval{50};        /**< Mean time between the starts of two writes under load. */
    unsigned burst = 3;           /**< Writes that may follow at once after a quiet time. */
    duration lazy_delay{200};     /**< A lazy write waits so long for company. */
    std::size_t most_writes = 60; /**< In one transaction. */
    std::size_t most_bytes = std::size_t{512} * 1024;
    backoff_settings backoff;
    bucket_lease_settings lease;

    friend bool operator==(const group_commit_settings&, const group_commit_settings&) = default;
};

/** Calls made so far. A value type. */
struct store_counts {
    std::uint64_t writes = 0; /**< Transactions that may write. */
    std::uint64_t reads = 0;
    std::uint64_t grants = 0;

    friend bool operator==(const store_counts&, const store_counts&) = default;
};

/**
 * Puts many independent compare-and-swap writes into few transactions: one under way at a time, at
 * a bounded rate. One failed comparison fails a transaction, so its keys are read with it: writes
 * whose key is as expected go into the next one, the others are reported with what was found. When
 * the answer to a transaction is lost, its keys are read back and treated alike; so `found` may be
 * the caller's own write, which it must recognise by its value. Store failures are retried here,
 * with backoff, for as long as the write is not withdrawn. Not thread safe.
 *
 * @code
 * group_commit commit("once", settings);
 * commit.submit({key, 0, value}, write_urgency::soon, now);
 * for (const cas_result& each : commit.on_kv_reply(id, reply, now)) { ... }
 * @endcode
 */
class group_commit {
public:
    /** Timers and calls with tokens below this belong to group_commit; pass them on to it. */
    static constexpr token token_limit = 8;

    group_commit(std::string service, group_commit_settings settings);

    void start(step& now);

    /** Preconditions: no write of that key is pending; one write fits into a transaction. */
    void submit(cas_write write, write_urgency urgency, step& now);

    /** Takes a write back; false when it is under way or not there. */
    bool withdraw(const std::string& key);

    /** Reads one key; looking up a key twice before the result gives one result. */
    void look_up(const std::string& key, step& now);

    cas_results on_timer(token id, step& now);
    cas_results on_kv_reply(token id, const kv_reply& reply, step& now);

    /** Whether no write is pending. */
    bool idle() const noexcept;

    store_counts counts() const noexcept;

private:
    struct queued_write {
        cas_write write;
        write_urgency urgency = write_urgency::soon;
        time_point since;
    };
    enum class lane_state : std::uint8_t { free, writing, read_back_due, reading_back };

    void pump(step& now);
    time_point write_due() const;
    void write_batch(std::int64_t lease, step& now);
    void take_batch();
    void read_back(step& now);
    void look_up_batch(step& now);
    void wake(time_point at, step& now);
    void on_write_reply(const kv_reply& reply, step& now, cas_results& out);
    void on_look_up_reply(const kv_reply& reply, cas_results& out, step& now);
    void sort_found(const kv_txn_result& found, cas_results& out);
    void requeue();

    std::string service_;
    group_commit_settings settings_;
    bucket_lease lease_;
    store_counts counts_;

    std::deque<queued_write> soon_;
    std::deque<queued_write> lazy_;
    std::vector<queued_write> batch_;
    lane_state lane_ = lane_state::free;
    unsigned failures_ = 0;
    unsigned lost_in_row_ = 0; /**< Writes without answer that turned out not to be there. */
    time_point paid_until_;    /**< Each write moves it on by an interval. */
    time_point not_before_;

    std::deque<std::string> look_ups_;
    std::vector<std::string> looking_up_;
    time_point look_up_after_;

    std::optional<time_point> wake_;
};

} // namespace camphorgrade::delivery
