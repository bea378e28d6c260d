#pragma once

#include <agent/engine_driver.h>
#include <agent/work_queue.h>

#include <placement/load_pacer.h>
#include <placement/scheduler.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace camphorgrade::agent {

/**
 * The requests for an engine and the adapter orders that they need: a scheduler joined to the
 * engine's interface and to the pacer of the weight store. Not thread safe.
 *
 * Its calls to the engine are made in the name of `service`; the owner passes their progress on.
 */
class engine_queue final : public work_queue, public placement::load_permit_sink {
public:
    /** What it works with. All references outlive the queue. */
    struct parts {
        const engine_driver& driver;
        placement::load_pacer& pacer;
        work_listener& listener;
        std::string service;  /**< Receives call_progressed. */
        std::string endpoint; /**< "IP:port" of the engine. */
        std::string pool;     /**< Base model. */
    };

    engine_queue(parts with, placement::scheduler_settings settings,
                 placement::fencing_number fencing, time_point now);

    void admit(const placement::queued_request& request, step& now) override;
    bool cancel(std::uint64_t id) override;
    void finished(std::uint64_t id, std::uint64_t generated_tokens, step& now) override;
    void pump(step& now) override;
    void on_missing_adapter(std::uint64_t id, step& now) override;
    bool empty() const override { return scheduler_.queue().empty(); }
    placement::agent_status status(time_point now) const override;

    bool on_permit(const placement::adapter_ref& adapter, time_point expires, step& now) override;

    /** Progress of one of its calls; false when the call is not its own. */
    bool on_call(call_id call, const call_progress& progress, step& now);

    /** The last life in which the engine was seen. */
    placement::boot_id boot() const noexcept { return boot_; }

    /** The engine was seen in this life. */
    void on_boot(placement::boot_id boot, step& now);

private:
    struct own_call {
        std::optional<placement::slot_order> order; // none: a listing
        time_point asked_at;
        engine_answer answer;
    };

    void call(const http_request& request, own_call what, step& now);
    void ended(own_call& ended_call, bool whole, step& now);
    void order_ended(const own_call& ended_call, bool whole, step& now);
    void start(placement::request_start& next, step& now);

    parts with_;
    placement::scheduler scheduler_;
    placement::boot_id boot_;
    std::map<std::uint64_t, placement::request_start> running_; // pins, so after the scheduler
    std::map<call_id, own_call> calls_;
    std::uint64_t next_call_ = 0;
    bool listing_ = false;
    bool pumping_ = false;
};

} // namespace camphorgrade::agent
