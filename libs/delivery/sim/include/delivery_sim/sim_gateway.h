#pragma once

#include <delivery/agent_avoidance.h>
#include <delivery/quarantine.h>
#include <delivery/request_delivery.h>
#include <delivery_sim/directory.h>
#include <delivery_sim/request_spec.h>
#include <kernel/micro_kernel.h>
#include <kernel/service.h>

#include <map>
#include <memory>
#include <string>

namespace camphorgrade::delivery::sim {

/** Hears what simulated callers see. */
class caller_observer {
public:
    virtual ~caller_observer() = default;

    virtual void on_answer(const std::string& name, const call_progress& part) = 0;
    virtual void on_refusal(const std::string& name, const refusal& reason) = 0;
    virtual void on_ended(const std::string& name, const delivery_ended& how) = 0;
};

/** Decides whether an account's key works, in place of the key service. */
class admission {
public:
    virtual ~admission() = default;

    virtual bool admits(const std::string& account) const = 0;
};

/**
 * The least gateway that wires request_delivery to messages: service "gateway". Not thread safe.
 */
class sim_gateway final : public service {
public:
    sim_gateway(const delivery_settings& settings, const retry_budget_settings& budget,
                const directory& known, const admission& keys, caller_observer& observer);

    std::string_view name() const noexcept override { return "gateway"; }
    void attach(micro_kernel& kernel) override;
    void start(step& now) override;
    void on_message(const message& received, step& now) override;
    void on_timer(token id, step& now) override;

    /** A caller's request arrives. */
    void submit(const request_spec& spec, step& now);

    /** The caller of a request goes. */
    void drop(const std::string& name, step& now);

private:
    struct open_request {
        request_spec spec;
        request_delivery delivery;
    };

    void carry_out(request_id id, const delivery_effects& effects, step& now);
    void choose(request_id id, const choose_backend& wanted, step& now);
    void send_run(request_id id, const send_attempt& sent, step& now);
    void check_agents(step& now);

    delivery_settings settings_;
    retry_budget budget_;
    agent_avoidance avoidance_{{duration{200}, duration{5'000}}};
    const directory& known_;
    const admission& keys_;
    caller_observer& observer_;
    quarantine* quarantine_ = nullptr;
    std::uint64_t last_request_ = 0;
    std::map<request_id, open_request> open_;
};

} // namespace camphorgrade::delivery::sim
