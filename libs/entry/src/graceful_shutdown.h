#pragma once

#include <edge/caller_server.h>
#include <kernel/clock.h>
#include <serving/dispatcher.h>

#include <cstddef>

namespace camphorgrade::entry {

/** Requests that a shutdown ended before their backend server did, by response. A value type. */
struct shutdown_counts {
    std::size_t refused = 0;   /**< With a response that says "not run". */
    std::size_t timed_out = 0; /**< With a response that says "may have run". */
    std::size_t aborted = 0;   /**< By an abort of the response, which had begun. */

    friend bool operator==(const shutdown_counts&, const shutdown_counts&) = default;
};

/**
 * The order of a graceful shutdown.
 *
 * From its begin, each response announces the close of its connection, and each request gets its
 * final response before the end of the grace. New requests are accepted until the load balancer has
 * noticed the shutdown, and refused from then on. The process may exit when every response has been
 * sent and the callers have closed their connections, or when the grace has almost passed. Not
 * thread safe.
 */
class graceful_shutdown {
public:
    /** `grace` is the time from begin() until the process must have exited. */
    graceful_shutdown(duration grace, edge::caller_server& server, serving::dispatcher& dispatcher);

    /** Has no effect on a shutdown that has begun. */
    void begin(time_point now);
    bool has_begun() const noexcept { return has_begun_; }

    /** Whether a request that arrives now is to be refused. */
    bool refuses_requests(time_point now) const;

    /** Counts a request that the gateway refused, or that the dispatcher ended. Has no effect
        before begin(). */
    void on_request_ended(serving::end_reason reason, bool has_response_started);

    /**
     * Stops accepting connections, and rejects incomplete requests, when due. Returns whether the
     * process may exit. Call after dispatcher::tick() and the execution of its effects.
     */
    bool advance(time_point now);

    const shutdown_counts& counts() const noexcept { return counts_; }

private:
    time_point answer_by() const;

    duration grace_;
    edge::caller_server& server_;
    serving::dispatcher& dispatcher_;
    bool has_begun_ = false;
    bool has_rejected_incomplete_ = false;
    time_point began_;
    shutdown_counts counts_;
};

} // namespace camphorgrade::entry
