#pragma once

#include <placement/agent_status.h>
#include <placement/fair_queue.h>
#include <placement/load_want.h>
#include <placement/placement_weights.h>
#include <placement/popularity.h>
#include <placement/slot_table.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorgrade::placement {

struct scheduler_settings {
    slot_table_settings slots;
    fair_queue_settings queue;
    placement_weights weights;
    bool paced = true;        /**< Loads wait for permits; else they start at once. */
    bool keep_popular = true; /**< Evict the least popular adapter; else the least recently used. */
    bool prefetch = true;     /**< Ask for permits to fill empty slots with known adapters. */
    duration patience{2000};  /**< Waiting longer than this may close a busy slot to newcomers. */
    std::size_t most_wants = 4;      /**< Loads asked for at once. */
    std::uint32_t load_attempts = 2; /**< Failed loads before the waiting requests are refused. */
};

/** A request to start now. The pin lives as long as the request runs. Move only. */
struct request_start {
    queued_request request;
    pin hold;
};

/** What an agent does next, in this order: refuse, order, start, and ask the pacer for loads. */
struct schedule {
    std::vector<refused_request> refusals;
    std::vector<slot_order> orders;
    std::vector<request_start> starts;
    std::vector<load_want> wants; /**< Most urgent first; replaces what was asked before. */
};

/**
 * Decides for one engine which requests start, which adapters are loaded and which are evicted.
 *
 * Call next() after each change and at least every 100 ms while requests wait. Resident adapters
 * start first, in the queue's fair order. An adapter that waits longer than `patience` while all
 * slots are in use closes the least popular slot to newcomers, which is evicted when its running
 * requests have ended; so no rare adapter starves. Neither copyable nor moveable, and must outlive
 * the pins that it hands out. Not thread safe.
 *
 * @code
 * scheduler plan(settings, fencing_number{7}, now);
 * plan.table().on_listing(listing, now);
 * if (auto refused = plan.admit(request, now)) { refuse(*refused); }
 * for (auto& each : plan.next(now, free_seats).starts) { run(std::move(each)); }
 * plan.finished(request, generated_tokens);
 * @endcode
 */
class scheduler {
public:
    scheduler(scheduler_settings settings, fencing_number fencing, time_point now);

    slot_table& table() noexcept { return table_; }
    const slot_table& table() const noexcept { return table_; }
    const fair_queue& queue() const noexcept { return queue_; }

    /** Queues the request, or says why it does not run. */
    std::optional<refused_request> admit(const queued_request& request, time_point now);

    /** Removes a waiting request whose caller has gone; false if it is not waiting. */
    bool cancel(std::uint64_t request);

    /** One load of the adapter may start until `expires`; false if it is of no use any more. */
    bool permit(const adapter_ref& adapter, time_point expires, time_point now);

    /** Takes in an order's result; the refusals it leads to come with the next schedule. */
    result_effect on_result(const order_result& result, time_point now);

    /** A started request has ended after generating so many tokens. Its pin is the caller's. */
    void finished(const queued_request& request, std::uint64_t generated_tokens);

    /** Slots, backlog and worth for the agent's report; the agent fills in the rest. */
    agent_status status(time_point now) const;

    /** Decides. `free_seats` is how many more requests the engine's batch takes. */
    schedule next(time_point now, std::size_t free_seats);

private:
    void refuse(std::vector<queued_request> requests, schedule_refusal reason,
                duration retry_after);
    void refuse_hopeless(time_point now);
    void start(schedule& decided, time_point now, std::size_t free_seats);
    void hold_backlogged(const std::vector<adapter_backlog>& backlogs, time_point now);
    std::vector<load_want> missing(const std::vector<adapter_backlog>& backlogs, time_point now);
    void add_prefetch(std::vector<load_want>& wants, time_point now) const;
    void order_loads(schedule& decided, time_point now);
    void make_room(schedule& decided, std::size_t needed, time_point now);
    bool closed(const adapter_ref& adapter) const { return closing_ == adapter; }
    void start_load(schedule& decided, const adapter_ref& adapter, time_point now);
    void close_a_slot(const std::vector<adapter_backlog>& backlogs, time_point now);
    std::optional<slot_view> victim(bool pinned, time_point now) const;
    double worth(const slot_view& slot, time_point now) const;
    std::size_t obtainable_slots() const;
    bool permitted(const adapter_ref& adapter, time_point now) const;

    scheduler_settings settings_;
    slot_table table_;
    fair_queue queue_;
    popularity asked_;
    time_point pressed_until_;
    std::map<std::uint64_t, adapter_ref> known_;
    std::map<adapter_ref, pin> holds_;
    std::map<adapter_ref, time_point> permits_;
    std::optional<adapter_ref> closing_;      /**< Resident, but starts nothing new. */
    std::optional<adapter_ref> reserved_for_; /**< Gets the slot of the closed one. */
    std::vector<refused_request> refusals_;
};

} // namespace camphorgrade::placement
