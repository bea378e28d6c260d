#pragma once

#include <delivery/attempt_register.h>
#include <delivery/drain.h>
#include <delivery/once_records.h>
#include <delivery/part_outbox.h>
#include <delivery/quarantine.h>
#include <delivery_sim/directory.h>
#include <kernel/micro_kernel.h>
#include <kernel/service.h>

#include <wire/forward.pb.h>

#include <deque>
#include <map>
#include <set>
#include <string>

namespace camphorgrade::delivery::sim {

/**
 * The least agent that wires the records, quarantine and drain to messages and backend calls:
 * service "agent". Not thread safe.
 */
class sim_agent final : public service, public once_listener, public death_listener {
public:
    explicit sim_agent(const directory& known);

    std::string_view name() const noexcept override { return "agent"; }
    void attach(micro_kernel& kernel) override;
    void start(step& now) override;
    void on_message(const message& received, step& now) override;
    void on_timer(token id, step& now) override;
    void on_call(call_id call, const call_progress& progress, step& now) override;
    void on_shutdown(step& now) override;

    void on_once_decided(once_ticket ticket, const once_decision& decision, step& now) override;
    void on_death_shared(const death_id& death, bool everywhere, step& now) override;

private:
    struct work {
        wire::run_attempt run;
        part_outbox outbox;
        fingerprint content;
        time_point deadline;
        once_ticket ticket;
        call_id call;
        bool keyed = false;
        recorded_outcome answer; /**< Of a keyed request, collected until it is whole. */
    };

    void take_run(const attempt_id& id, const wire::run_attempt& run, step& now);
    void accept_run(const attempt_id& id, const wire::run_attempt& run, step& now);
    void take_cancel(const attempt_id& id, step& now);
    void answer(const attempt_id& id, part next, step& now);
    void send_part(const attempt_id& id, const numbered_part& sent, step& now);
    bool backend_up(step& now) const;
    void start_waiting(step& now);
    void call(const attempt_id& id, step& now);
    void end_call(call_id ended, step& now);
    void take_end(const attempt_id& id, step& now);
    void take_failure(const attempt_id& id, const call_failure& failure, step& now);
    void backend_died(step& now);
    void move_drain(step& now);

    const directory& known_;
    once_records* once_ = nullptr;
    quarantine* quarantine_ = nullptr;
    attempt_register seen_;
    std::map<attempt_id, work> works_;
    std::deque<attempt_id> waiting_;
    std::map<call_id, attempt_id> calls_;
    std::map<once_ticket, attempt_id> tickets_;
    std::map<death_id, std::vector<attempt_id>> dying_;
    std::uint64_t last_call_ = 0;
    drain drain_;
};

} // namespace camphorgrade::delivery::sim
