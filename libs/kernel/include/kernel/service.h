#pragma once

#include <kernel/event.h>
#include <kernel/step.h>

#include <string_view>

namespace camphorgrade {

class micro_kernel;

/**
 * A component of a node. It handles events by changing its own state and emitting effects, and
 * looks up other services by name when it is attached. A handler that isn't overridden ignores its
 * event.
 *
 * To keep the kernel deterministic, a service must not use threads, sockets, sleeps, clocks or
 * unseeded random numbers. Not thread safe: only the thread that drives the kernel calls it.
 */
class service {
public:
    service() = default;
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    service(service&&) = delete;
    service& operator=(service&&) = delete;
    virtual ~service() = default;

    /** The name of the service; unique within a kernel and constant. */
    virtual std::string_view name() const noexcept = 0;

    /** Called once, after all services were added. Look up other services here. */
    virtual void attach(micro_kernel& kernel);

    /** Called once, after all services were attached. Set the first timers here. */
    virtual void start(step& now);

    /** A message for this service was received. */
    virtual void on_message(const message& received, step& now);

    /** A timer of this service has expired. */
    virtual void on_timer(token id, step& now);

    /** A key-value call of this service has ended. */
    virtual void on_kv_reply(token id, const kv_reply& reply, step& now);

    /** A complete request for this service was received from a caller. */
    virtual void on_caller(const caller_arrived& arrived, step& now);

    /** The caller of `request` has disconnected. */
    virtual void on_caller_gone(request_id request, step& now);

    /** A part of the response to a backend call of this service arrived, or the call failed. */
    virtual void on_call(call_id call, const call_progress& progress, step& now);

    /** A graceful shutdown of the process was requested. */
    virtual void on_shutdown(step& now);
};

} // namespace camphorgrade
