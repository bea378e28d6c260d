#pragma once

#include <delivery/agent_avoidance.h>
#include <delivery/delivery_effect.h>
#include <delivery/quarantine.h>
#include <delivery/request_delivery.h>
#include <delivery/retry_budget.h>
#include <kernel/service.h>
#include <membership/membership_service.h>
#include <placement/router_service.h>
#include <telemetry/metrics.h>
#include <wire/forward.pb.h>

#include <map>
#include <string>
#include <vector>

namespace camphorgrade::gateway {

/** An admitted request, ready to be sent to an agent. */
struct forward_order {
    request_id request;
    wire::run_attempt attempt; /**< All but what differs between attempts. */
    placement::route_request route;
    delivery::delivery_request delivery;
    delivery::fingerprint content; /**< From quarantine_fingerprint(). */
};

/** Hears how the delivery of a request goes. Must outlive the forwarder. */
class forward_listener {
public:
    virtual ~forward_listener() = default;

    /** A part of the backend server's answer for the caller. */
    virtual void on_answer(request_id request, const call_progress& part, step& now) = 0;

    /** The final answer is a refusal; no part was given before. */
    virtual void on_refusal(request_id request, const delivery::refusal& refused, step& now) = 0;

    /** Nothing follows; settle the charge. */
    virtual void on_ended(request_id request, const delivery::delivery_ended& ended, step& now) = 0;
};

/**
 * The service "forward" of a gateway: sends admitted requests to agents and brings the answers
 * back, each through its own request_delivery. Not thread safe.
 *
 * @code
 * auto& forward = kernel.find<forwarder>("forward");
 * forward.set_listener(*this);           // in attach()
 * forward.begin(std::move(order), now);
 * forward.caller_gone(request, now);
 * @endcode
 */
class forwarder final : public service, public membership::membership_listener {
public:
    forwarder(const delivery::delivery_settings& settings,
              const delivery::retry_budget_settings& retries);

    std::string_view name() const noexcept override { return "forward"; }
    void attach(micro_kernel& kernel) override;
    void on_message(const message& received, step& now) override;
    void on_timer(token id, step& now) override;
    void on_nodes_changed(step& now) override;

    void set_listener(forward_listener& listener) { listener_ = &listener; }

    /** Delivers the request. Precondition: no request of that id is open. */
    void begin(forward_order order, step& now);

    /** The caller no longer waits. Unknown requests are ignored. */
    void caller_gone(request_id request, step& now);

    /** Requests not yet ended. */
    std::size_t open() const noexcept { return open_.size(); }

private:
    struct delivery_state {
        forward_order order;
        delivery::request_delivery machine;
    };

    void carry_out(request_id request, const delivery::delivery_effects& effects, step& now);
    void carry_out_one(request_id request, delivery_state& state,
                       const delivery::delivery_effect& one, step& now);
    void choose(request_id request, delivery_state& state, const delivery::choose_backend& wanted,
                step& now);
    placement::route route_to_agent(const delivery_state& state, const std::vector<node_id>& tried,
                                    step& now);
    void note_health(const node_id& agent, const delivery::part& arrived, step& now);
    void send_attempt(delivery_state& state, const delivery::send_attempt& wanted, step& now);
    void send(const node_id& to, const wire::forward_to_agent& content, step& now);
    void cancel(request_id request, std::uint32_t attempt, const node_id& at, step& now);

    delivery::delivery_settings settings_;
    delivery::retry_budget budget_;
    delivery::agent_avoidance avoidance_;
    delivery::quarantine* quarantine_ = nullptr;
    membership::membership_service* membership_ = nullptr;
    placement::router_service* router_ = nullptr;
    metrics* metrics_ = nullptr;
    forward_listener* listener_ = nullptr;
    std::map<request_id, delivery_state> open_;
};

} // namespace camphorgrade::gateway
