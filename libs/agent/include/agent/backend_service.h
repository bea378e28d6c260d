#pragma once

#include <agent/engine_driver.h>
#include <agent/engine_queue.h>
#include <agent/fencing_service.h>
#include <agent/job.h>
#include <agent/work_queue.h>

#include <config/configuration_service.h>
#include <config/specs.h>
#include <delivery/attempt_register.h>
#include <delivery/drain.h>
#include <delivery/once_records.h>
#include <delivery/quarantine.h>
#include <kernel/service.h>
#include <placement/load_director.h>
#include <placement/reporter.h>
#include <telemetry/metrics.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace camphorgrade::membership {
class membership_service;
class standing_service;
} // namespace camphorgrade::membership

namespace camphorgrade::agent {

/** Times and bounds of a backend_service. */
struct backend_settings {
    std::string backend_server; /**< Its name in the operators' text. */
    std::string data_centre;
    std::size_t seats = 16;             /**< Requests that run on the backend server at once. */
    std::size_t plain_capacity = 1'024; /**< Requests that wait for a plain service. */
    duration resend_after{200};         /**< For parts that are not acknowledged. */
    duration keep{120'000};             /**< Attempts are remembered for this long. */
    delivery::drain_settings drain;
};

/**
 * The service "forward" of an agent: takes attempts from gateways, runs them on the one backend
 * server and sends the answers back. It owns the queue, the adapter orders, the at-most-once
 * records in use, and the graceful shutdown of the agent. Not thread safe.
 *
 * Finds "configuration", "standing", "membership", "once", "quarantine", "reporter", "load_pacer"
 * and "metrics" in its kernel.
 */
class backend_service final : public service,
                              public work_listener,
                              public placement::status_source,
                              public delivery::once_listener,
                              public delivery::death_listener,
                              public config::configuration_listener,
                              public fencing_listener {
public:
    /** The driver outlives the service. */
    backend_service(backend_settings settings, const engine_driver& driver);
    ~backend_service() override;

    std::string_view name() const noexcept override { return "forward"; }
    void attach(micro_kernel& kernel) override;
    void start(step& now) override;
    void on_message(const message& received, step& now) override;
    void on_timer(token id, step& now) override;
    void on_call(call_id call, const call_progress& progress, step& now) override;
    void on_shutdown(step& now) override;

    void on_start(std::uint64_t id, step& now) override;
    void on_refused(std::uint64_t id, delivery::refusal_type why, duration retry_after,
                    step& now) override;
    std::size_t free_seats() const override;

    placement::agent_status status(time_point now) const override;
    void on_once_decided(delivery::once_ticket ticket, const delivery::once_decision& decision,
                         step& now) override;
    void on_death_shared(const delivery::death_id& death, bool everywhere, step& now) override;
    void configuration_changed(const config::operators_text& text, std::uint64_t revision,
                               step& now) override;
    void on_fencing_number(placement::fencing_number number, step& now) override;

    /** Whether the backend server is known and the agent takes work. */
    bool ready() const noexcept {
        return queue_ != nullptr && !down_since_ && drain_.accepts_new();
    }

private:
    using job_ref = job&;

    void take(const message& received, const wire::run_attempt& wanted, step& now);
    void admit(job_ref taken, step& now);
    std::optional<delivery::part> reason_to_refuse(const job& taken, time_point now) const;
    void acknowledge(const message& received, const wire::part_acknowledged& acknowledged,
                     step& now);
    void cancel(const message& received, const wire::cancel_attempt& cancelled, step& now);

    void run(job_ref started, step& now);
    void call(job_ref started, step& now);
    void take_progress(job_ref running, const call_progress& progress, step& now);
    void take_head(job_ref running, const http_head& head, step& now);
    void take_chunk(job_ref running, const http_chunk& chunk, step& now);
    void take_end(job_ref running, step& now);
    void take_failure(job_ref running, call_failure_kind kind, step& now);
    void record_outcome(job_ref finished, step& now);

    void check_liveness(step& now);
    void mark_down(step& now);
    void tend_down_server(step& now);
    void liveness_known(bool died, step& now);

    void end(job_ref ended, delivery::part last, step& now);
    void send(job_ref from, delivery::part next, step& now);
    void transmit(const job& from, const delivery::numbered_part& numbered, step& now);
    void resend(step& now);
    void enforce_deadlines(step& now);
    void forget_settled(time_point now);
    void start_held(step& now);
    void export_trace(const job& ended, step& now);
    void count_end(const job& ended, const delivery::part& last, step& now);

    void build_queue(step& now);
    config::backend_kind kind() const;
    void update_drain(step& now);
    void settle_record(job_ref ended, const delivery::part& last, step& now);
    std::uint64_t unsettled() const;
    job* find(const delivery::attempt_id& id);
    job* find_number(std::uint64_t number);

    backend_settings settings_;
    const engine_driver& driver_;
    membership::membership_service* membership_ = nullptr;
    membership::standing_service* standing_ = nullptr;
    delivery::once_records* once_ = nullptr;
    delivery::quarantine* quarantine_ = nullptr;
    placement::reporter* reporter_ = nullptr;
    placement::load_pacer* pacer_ = nullptr;
    placement::load_director* director_ = nullptr;
    metrics* metrics_ = nullptr;

    std::optional<config::backend_server_spec> server_;
    const config::operators_text* text_ = nullptr;
    std::optional<placement::fencing_number> fencing_;
    std::unique_ptr<work_queue> queue_;
    engine_queue* engine_ = nullptr; // queue_, when the backend server is an engine

    std::optional<delivery::attempt_register> seen_;
    std::map<delivery::attempt_id, std::unique_ptr<job>> jobs_;
    std::map<std::uint64_t, job*> by_number_;
    std::map<call_id, job*> by_call_;
    std::map<delivery::once_ticket, job*> by_ticket_;
    std::optional<call_id> liveness_call_;
    std::optional<time_point> down_since_; // the backend server can't be reached
    time_point next_probe_{};
    std::map<delivery::death_id, std::vector<std::uint64_t>> deaths_; // jobs that wait to be told
    std::size_t running_ = 0;   // recording, running and checking
    std::size_t exclusive_ = 0; // held, or running alone
    std::uint64_t last_number_ = 0;
    std::uint64_t last_call_ = 0;
    delivery::drain drain_;
    bool exiting_ = false;
};

} // namespace camphorgrade::agent
