#pragma once

#include <delivery/group_commit.h>
#include <delivery/once_types.h>
#include <kernel/service.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace camphorgrade::wire {
class once_record;
} // namespace camphorgrade::wire

namespace camphorgrade::delivery {

/** Bounds and times of once_records. A value type. */
struct once_settings {
    std::string key_prefix = "/camphor/once/";
    std::size_t most_body_bytes = std::size_t{64} * 1024; /**< Larger bodies are not recorded. */
    std::size_t most_waiting = 4'096;    /**< Requests that wait for their record. */
    std::size_t most_remembered = 4'096; /**< Outcomes kept in memory to spare reads. */
    duration watch_for{2'000};           /**< Waits so long for the outcome of another agent. */
    duration watch_interval{100};        /**< First wait between two reads of it; doubles. */
    duration retry_after{1'000};         /**< Told to callers who may ask again. */
    group_commit_settings commit;

    friend bool operator==(const once_settings&, const once_settings&) = default;
};

/** Decisions and store calls since the service started. A value type. */
struct once_counts {
    std::uint64_t runs = 0;
    std::uint64_t replays = 0;
    std::uint64_t unknowns = 0;
    std::uint64_t refusals = 0;
    store_counts store;

    friend bool operator==(const once_counts&, const once_counts&) = default;
};

/**
 * Lets a keyed request run at most once in the whole fleet: service "once" of an agent.
 *
 * The record "started" is in the key-value service before the call and the outcome after it. Which
 * record belongs to an idempotency key depends on the key and its client account alone, so all
 * agents meet in one record, and the store's compare-and-swap leaves one winner. A record that this
 * life of this agent wrote and never handed out to run is taken over; any other without an outcome
 * is "unknown", never a second run. Records live for the retention time of `commit.lease`, after
 * which a key counts as new. Not thread safe.
 *
 * @code
 * auto& once = kernel.find<once_records>("once");
 * once_ticket ticket = once.begin(request, listener, now);
 * // listener: once_run -> call the backend server; afterwards one of
 * once.finish(ticket, outcome, now);   // it answered in full
 * once.finish_not_run(ticket, now);    // it provably never saw the request
 * once.finish_unknown(ticket, now);    // no whole answer: the record stays "started"
 * @endcode
 */
class once_records final : public service {
public:
    explicit once_records(once_settings settings);

    std::string_view name() const noexcept override { return "once"; }
    void start(step& now) override;
    void on_timer(token id, step& now) override;
    void on_kv_reply(token id, const kv_reply& reply, step& now) override;

    /**
     * Asks whether the request may run; the listener hears the answer, at the latest at the
     * request's deadline. Preconditions: the key is not empty; the listener outlives this service.
     */
    once_ticket begin(const once_request& request, once_listener& listener, step& now);

    /** The listener no longer wants the answer. No effect on tickets that were decided. */
    void abandon(once_ticket ticket, step& now);

    /** The backend server answered in full. Precondition: the ticket was told to run, once. */
    void finish(once_ticket ticket, const recorded_outcome& outcome, step& now);

    /** The backend server provably never saw the request. Same precondition. */
    void finish_not_run(once_ticket ticket, step& now);

    /** It may have run and there is no whole answer. Same precondition. */
    void finish_unknown(once_ticket ticket, step& now);

    once_counts counts() const;

    /** Whether nothing runs, waits or is left to be written; for graceful shutdown. */
    bool idle() const noexcept;

private:
    enum class entry_state : std::uint8_t {
        starting,  /**< "started" is being written. */
        running,   /**< One ticket was told to run. */
        recording, /**< The outcome is being written. */
        releasing, /**< The record is being deleted: it did not run. */
        watching   /**< Another agent started it; its outcome is awaited. */
    };
    struct waiter {
        once_ticket ticket;
        once_listener* listener = nullptr;
        time_point deadline;
        fingerprint content;
    };
    struct entry {
        fingerprint content;
        entry_state state = entry_state::starting;
        std::uint64_t sequence = 0; /**< Of our record. */
        std::int64_t revision = 0;  /**< Of our record, once written. */
        once_ticket runner;
        std::deque<waiter> waiters;
        recorded_outcome outcome;
        time_point watch_until;
        time_point next_look;
        duration watch_wait{};
    };
    struct remembered_outcome {
        fingerprint content;
        recorded_outcome outcome;
        time_point until;
    };
    struct decided {
        waiter who;
        once_decision decision;
    };
    using entry_ref = std::map<std::string, entry>::iterator;

    std::string record_key(const once_request& request) const;
    bool join(entry& known, const waiter& who);
    void refuse_others(entry& of, const fingerprint& recorded);
    const remembered_outcome* remembered(const std::string& key, time_point at) const;
    void remember(const std::string& key, const entry& finished, step& now);
    std::string record_value(const entry& of, step& now) const;

    void submit_start(entry_ref at, std::int64_t expected_revision, step& now);
    void submit_outcome(entry_ref at, step& now);
    void submit_release(entry_ref at, step& now);
    void run_next(entry_ref at, step& now);
    void drop_if_unwanted(entry_ref at);
    entry_ref running(once_ticket ticket);

    void on_result(const cas_result& result, step& now);
    void on_applied(entry_ref at, std::int64_t revision, step& now);
    void on_found(entry_ref at, const std::optional<kv_entry>& found, step& now);
    void start_found(entry_ref at, const std::optional<kv_entry>& found, step& now);
    void other_record_found(entry_ref at, const kv_entry& found, const wire::once_record& record,
                            step& now);
    void outcome_found(entry_ref at, const std::optional<kv_entry>& found, step& now);
    void watch(entry_ref at, step& now);

    void decide(const waiter& who, once_decision decision);
    void decide_all(entry& of, const once_decision& decision);
    void flush(step& now);
    void expire(step& now);
    void look_at_watched(step& now);
    void arm(time_point at, step& now);
    void settle(step& now);

    once_settings settings_;
    group_commit commit_;
    once_counts counts_;
    std::uint64_t last_ticket_ = 0;
    std::uint64_t last_sequence_ = 0;

    std::map<std::string, entry> entries_;       /**< By record key. */
    std::map<once_ticket, std::string> tickets_; /**< Waiting and running ones. */
    std::set<std::uint64_t> granted_; /**< Sequences that were told to run and not settled. */
    std::set<std::pair<time_point, once_ticket>> deadlines_;
    std::size_t waiting_ = 0;
    std::deque<decided> decided_;
    bool flushing_ = false;

    std::map<std::string, remembered_outcome> outcomes_;
    std::deque<std::string> outcome_order_;
    std::multimap<time_point, std::string> watched_; /**< Records of others, by next look. */
    std::optional<time_point> armed_;
};

} // namespace camphorgrade::delivery
