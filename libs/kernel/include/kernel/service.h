#pragma once

#include <kernel/event.h>
#include <kernel/step.h>

#include <string_view>

namespace camphorgrade {

class micro_kernel;

/**
 * A part of a node with one job. It reacts to events with effects, keeps its own state, and finds
 * other services by name when it is attached.
 *
 * A service has no thread, socket, sleep, wall clock or unseeded random number. All functions are
 * called from the one thread that drives the kernel, so none is thread safe or needs to be.
 */
class service {
public:
    service() = default;
    service(const service&) = delete;
    service& operator=(const service&) = delete;
    service(service&&) = delete;
    service& operator=(service&&) = delete;
    virtual ~service() = default;

    /** The name it is found by, unique in a kernel and constant. */
    virtual std::string_view name() const noexcept = 0;

    /** Called once, after all services were added; look up the services it uses here. */
    virtual void attach(micro_kernel& kernel);

    /** Called once, after all services were attached; set first timers here. */
    virtual void start(step& now);

    /** A message for this service arrived. */
    virtual void on_message(const message& received, step& now);

    /** A timer set by this service is due. */
    virtual void on_timer(token id, step& now);

    /** A key-value call made by this service has ended. */
    virtual void on_kv_reply(token id, const kv_reply& reply, step& now);

    /** A caller sent a request to this service. */
    virtual void on_caller(const caller_arrived& arrived, step& now);

    /** A caller of this service has gone. */
    virtual void on_caller_gone(request_id request, step& now);

    /** A backend call made by this service has moved on. */
    virtual void on_call(call_id call, const call_progress& progress, step& now);

    /** The process was asked to end gracefully. */
    virtual void on_shutdown(step& now);
};

} // namespace camphorgrade
