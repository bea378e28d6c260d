#pragma once

#include <http/http_call.h>
#include <http/http_client.h>
#include <kernel/ids.h>

#include <cstddef>
#include <memory>

namespace camphorgrade {

/** Bounds of a call_pool. */
struct call_pool_settings {
    std::size_t threads = 2;
    std::size_t max_running = 256; /**< Open connections at once. */
    std::size_t max_queued = 1024; /**< Calls that wait for a connection. */
    http_client_settings client;

    friend bool operator==(const call_pool_settings&, const call_pool_settings&) = default;
};

/** Takes what comes back from the calls of a pool. */
class call_observer {
public:
    virtual ~call_observer() = default;

    /**
     * The next piece of call `id`; the last is an http_end or a call_failure. Called on the pool's
     * threads, for one call in order; must not block.
     */
    virtual void on_call_progress(call_id id, call_progress progress) = 0;
};

/**
 * Runs many calls at once on few threads, with bounds on both running and waiting ones.
 *
 * Thread safe. `observer` must outlive the pool. Same promises as http_client.
 *
 * @code
 * camphorgrade::call_pool pool({}, observer);
 * if (!pool.submit(call_id{1}, endpoint, request, limits)) {
 *     // Full: nothing was sent, and the observer hears nothing.
 * }
 * @endcode
 */
class call_pool {
public:
    call_pool(const call_pool_settings& settings, call_observer& observer);

    /** Stops like stop(). */
    ~call_pool();

    call_pool(const call_pool&) = delete;
    call_pool& operator=(const call_pool&) = delete;

    /**
     * Takes a call, or returns false when the pool is full or stopped; then nothing was sent.
     * Precondition: no call with this id is open.
     */
    bool submit(call_id id, const http_endpoint& endpoint, const http_request& request,
                const call_limits& limits);

    /** Ends a call with a call_failure; without effect on one that is over. */
    void cancel(call_id id);

    /** Calls that run or wait. */
    std::size_t open_calls() const;

    /** Ends all calls, reports their failures, and joins the threads. Idempotent. */
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

} // namespace camphorgrade
