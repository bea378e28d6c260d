#pragma once

#include <delivery/refusal.h>
#include <kernel/step.h>
#include <placement/agent_status.h>
#include <placement/queued_request.h>

#include <cstdint>

namespace camphorgrade::agent {

/** Hears what becomes of the requests in a work_queue. */
class work_listener {
public:
    virtual ~work_listener() = default;

    /** The request may start now; work_queue::finished() must follow. */
    virtual void on_start(std::uint64_t id, step& now) = 0;

    /** The request provably does not run here. */
    virtual void on_refused(std::uint64_t id, delivery::refusal_type why, duration retry_after,
                            step& now) = 0;

    /** How many more requests may start now. */
    virtual std::size_t free_seats() const = 0;
};

/**
 * The requests that an agent holds for its backend server, and the order in which they start.
 * Not thread safe.
 *
 * @code
 * queue.admit(request, now);   // the listener hears a refusal, or a start from here or from pump()
 * queue.finished(id, tokens, now);
 * @endcode
 */
class work_queue {
public:
    virtual ~work_queue() = default;

    /** Takes a request, or refuses it through the listener. */
    virtual void admit(const placement::queued_request& request, step& now) = 0;

    /** Removes a waiting request whose caller has gone; false when it has started or is unknown. */
    virtual bool cancel(std::uint64_t id) = 0;

    /** A started request has ended after generating so many tokens. */
    virtual void finished(std::uint64_t id, std::uint64_t generated_tokens, step& now) = 0;

    /** Starts what may start; call it after each change and from time to time. */
    virtual void pump(step& now) = 0;

    /** The engine answered a started request with "no such adapter". */
    virtual void on_missing_adapter(std::uint64_t id, step& now) = 0;

    /** Whether requests wait. */
    virtual bool empty() const = 0;

    /** What gateways are told; the caller fills in what it knows better. */
    virtual placement::agent_status status(time_point now) const = 0;
};

} // namespace camphorgrade::agent
