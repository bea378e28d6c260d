#pragma once

#include <placement/queued_request.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::placement {

struct fair_queue_settings {
    std::uint64_t capacity_tokens = 40000; /**< Cost of all waiting requests together. */
    double engine_tokens_per_s = 400;      /**< What the engine can generate at full batch. */
    duration short_lead_per_token{10}; /**< A request yields this long for each token it asks. */
};

/** The requests that wait for one adapter, summed up. A value type. */
struct adapter_backlog {
    adapter_ref adapter;
    std::uint32_t callers = 0;
    time_point oldest; /**< Arrival of the first. */
    time_point due;    /**< First arrival plus lead: short answers are due before long drafts. */
    std::string furthest_behind;     /**< The account among them that has had least. */
    std::uint64_t tokens_behind = 0; /**< How far its furthest account is behind the queue. */

    friend bool operator==(const adapter_backlog&, const adapter_backlog&) = default;
};

/**
 * The waiting requests of one agent, fair across client accounts by tokens served.
 *
 * Each account has a virtual token counter: what it was served. The next request is one of the
 * account with the smallest counter that has a startable one. Within an account requests are
 * ordered by arrival plus a lead for each token asked, so that short answers pass long drafts, and
 * none is passed for ever. An account that comes back from idle starts at the smallest waiting
 * counter. The queue is bounded; an account may take at most as much of it as it leaves free, so a
 * busy account cannot shut the others out. Not thread safe.
 *
 * @code
 * fair_queue queue({});
 * if (auto refusal = queue.push(request, now)) { refuse(*refusal); }
 * auto next = queue.take([&](const adapter_ref& a) { return table.resident(a); });
 * @endcode
 */
class fair_queue {
public:
    using startable = std::function<bool(const adapter_ref&)>;

    explicit fair_queue(fair_queue_settings settings);

    /** Queues the request, or says why not. */
    std::optional<refused_request> push(queued_request request, time_point now);

    /** Removes and returns the next request whose adapter is startable and charges its cost. */
    std::optional<queued_request> take(const startable& can_start);

    /** Gives an account back what a taken request was charged for but did not use. */
    void credit(const std::string& client_account, std::uint64_t tokens);

    /** Removes and returns the requests whose deadline has passed. */
    std::vector<queued_request> expire(time_point now);

    /** Removes and returns the requests that `matches` names. */
    std::vector<queued_request> remove(const std::function<bool(const queued_request&)>& matches);

    /** The backlog of each adapter, in order of adapter. */
    std::vector<adapter_backlog> backlogs() const;

    bool empty() const noexcept { return size_ == 0; }
    std::size_t size() const noexcept { return size_; }

    /** Cost of all waiting requests. */
    std::uint64_t tokens() const noexcept { return tokens_; }

    /** Cost of the waiting requests that `matches` names. */
    std::uint64_t tokens_of(const std::function<bool(const queued_request&)>& matches) const;

    /** How long the engine would take for all of it at full batch. */
    duration drain_time() const;

    /** The account's virtual token counter; 0 for an unknown one. */
    std::uint64_t served(const std::string& client_account) const;

private:
    struct place {
        time_point key;
        std::uint64_t sequence = 0;
        friend auto operator<=>(const place&, const place&) = default;
    };
    struct account {
        std::uint64_t served = 0;
        std::uint64_t tokens = 0;
        std::map<place, queued_request> waiting;
    };

    std::optional<schedule_refusal> refusal_for(const queued_request& request,
                                                time_point now) const;
    void lift(account& back);
    void forget(account& owner, const queued_request& request);

    fair_queue_settings settings_;
    std::map<std::string, account> accounts_;
    std::uint64_t floor_ = 0;
    std::uint64_t tokens_ = 0;
    std::size_t size_ = 0;
    std::uint64_t sequence_ = 0;
};

} // namespace camphorgrade::placement
