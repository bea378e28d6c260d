#include <gateway/forwarder.h>

#include <kernel/micro_kernel.h>

#include <utility>
#include <vector>

namespace camphorgrade::gateway {

namespace {

constexpr delivery::backoff_settings avoid_for{duration{200}, duration{5'000}};

} // namespace

forwarder::forwarder(const delivery::delivery_settings& settings,
                     const delivery::retry_budget_settings& retries)
    : settings_(settings), budget_(retries), avoidance_(avoid_for) {}

void forwarder::attach(micro_kernel& kernel) {
    membership_ = &kernel.find<membership::membership_service>("membership");
    router_ = &kernel.find<placement::router_service>("router");
    quarantine_ = &kernel.find<delivery::quarantine>("quarantine");
    metrics_ = &kernel.find<metrics>("metrics");
    membership_->add_listener(*this);
}

void forwarder::begin(forward_order order, step& now) {
    CAMPHOR_PRECONDITION(!open_.contains(order.request));
    const request_id request = order.request;
    delivery::request_delivery machine(order.delivery, settings_);
    auto& state =
        open_.emplace(request, delivery_state{std::move(order), std::move(machine)}).first->second;
    carry_out(request, state.machine.start(now.time(), budget_), now);
}

void forwarder::caller_gone(request_id request, step& now) {
    const auto found = open_.find(request);
    if (found != open_.end()) {
        carry_out(request, found->second.machine.on_caller_gone(now.time()), now);
    }
}

void forwarder::on_message(const message& received, step& now) {
    wire::attempt_part content;
    if (!content.ParseFromString(received.payload)) {
        metrics_->count("camphor_malformed_messages_total", {{"service", "forward"}});
        return;
    }
    if (content.gateway_incarnation() != now.life().value()) {
        return; // answers a request of an earlier life
    }
    const request_id request{content.request()};
    const auto found = open_.find(request);
    if (found == open_.end()) {
        // Long answered: stops the agent from working on it or sending it again.
        cancel(request, content.attempt(), received.from, now);
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(arrived, delivery::from_wire(content));
            note_health(received.from, arrived.content, now);
            carry_out(request,
                      found->second.machine.on_part(
                          content.attempt(), {received.from, received.from_incarnation},
                          std::move(arrived), now.time(), budget_, now.random()),
                      now);
            return {};
        },
        [&] {
            metrics_->count("camphor_malformed_messages_total", {{"service", "forward"}});
        });
}

void forwarder::on_timer(token id, step& now) {
    const request_id request{id};
    const auto found = open_.find(request);
    if (found != open_.end()) {
        carry_out(request, found->second.machine.on_timer(now.time(), budget_, now.random()), now);
    }
}

void forwarder::on_nodes_changed(step& now) {
    std::vector<request_id> requests;
    for (const auto& [request, state] : open_) {
        requests.push_back(request);
    }
    for (const auto& info : membership_->live_agents()) {
        for (const auto& request : requests) {
            const auto found = open_.find(request);
            if (found != open_.end()) {
                carry_out(request,
                          found->second.machine.on_agent_gone(info.address, info.life, now.time(),
                                                              budget_, now.random()),
                          now);
            }
        }
    }
}

void forwarder::carry_out(request_id request, const delivery::delivery_effects& effects,
                          step& now) {
    for (const auto& one : effects) {
        // An effect may have ended the request.
        const auto found = open_.find(request);
        if (found == open_.end()) {
            return;
        }
        carry_out_one(request, found->second, one, now);
    }
}

void forwarder::carry_out_one(request_id request, delivery_state& state,
                              const delivery::delivery_effect& one, step& now) {
    if (const auto* chosen = std::get_if<delivery::choose_backend>(&one)) {
        choose(request, state, *chosen, now);
    } else if (const auto* sent = std::get_if<delivery::send_attempt>(&one)) {
        send_attempt(state, *sent, now);
    } else if (const auto* cancelled = std::get_if<delivery::cancel_sent_attempt>(&one)) {
        cancel(request, cancelled->attempt, cancelled->to, now);
    } else if (const auto* acknowledged = std::get_if<delivery::acknowledge_parts>(&one)) {
        wire::forward_to_agent content;
        auto* fields = content.mutable_acknowledged();
        fields->set_request(request.value());
        fields->set_attempt(acknowledged->attempt);
        fields->set_next_sequence(acknowledged->next_sequence);
        send(acknowledged->to, content, now);
    } else if (const auto* forwarded = std::get_if<delivery::forward_to_caller>(&one)) {
        listener_->on_answer(request, forwarded->progress, now);
    } else if (const auto* refused = std::get_if<delivery::refuse_caller>(&one)) {
        listener_->on_refusal(request, refused->reason, now);
    } else if (const auto* timer = std::get_if<delivery::wake_at>(&one)) {
        now.emit(set_timer{std::string(name()), request.value(), timer->at});
    } else if (const auto* ended = std::get_if<delivery::delivery_ended>(&one)) {
        const delivery::delivery_ended outcome = *ended;
        metrics_->count("camphor_retries_total", {},
                        outcome.attempts > 1 ? outcome.attempts - 1 : 0);
        open_.erase(request);
        listener_->on_ended(request, outcome, now);
    }
}

void forwarder::choose(request_id request, delivery_state& state,
                       const delivery::choose_backend& wanted, step& now) {
    // A death elsewhere may have made the request a suspect since it was admitted.
    const auto standing = quarantine_->standing(state.order.content, now.time());
    if (standing.verdict == delivery::quarantine_verdict::refuse) {
        carry_out(request,
                  state.machine.give_up(delivery::refusal_type::quarantined, standing.ends_in),
                  now);
        return;
    }
    const auto chosen = route_to_agent(state, wanted.tried, now);
    if (const auto* refused = std::get_if<placement::route_refusal>(&chosen)) {
        carry_out(request, state.machine.no_backend(refused->retry_after, now.time()), now);
        return;
    }
    const auto& agent = std::get<node_id>(chosen);
    avoidance_.on_chosen(agent, now.time());
    const auto* info = membership_->find(agent);
    const incarnation life = info != nullptr ? info->life : incarnation{};
    carry_out(request, state.machine.backend_chosen(agent, life, now.time()), now);
}

placement::route forwarder::route_to_agent(const delivery_state& state,
                                           const std::vector<node_id>& tried, step& now) {
    auto asked = state.order.route;
    asked.excluded = tried;
    for (const auto& each : membership_->live_agents()) {
        if (avoidance_.avoided(each.address, now.time())) {
            asked.excluded.push_back(each.address);
        }
    }
    auto chosen = router_->choose(asked, now);
    if (std::holds_alternative<placement::route_refusal>(chosen) && !asked.excluded.empty()) {
        // Better one that failed before than none.
        asked.excluded.clear();
        chosen = router_->choose(asked, now);
    }
    return chosen;
}

void forwarder::note_health(const node_id& agent, const delivery::part& arrived, step& now) {
    const auto* refused = std::get_if<delivery::part_refused>(&arrived);
    if (refused != nullptr && refused->type == delivery::refusal_type::backend_down) {
        avoidance_.on_failed(agent, now.time(), now.random());
    } else if (std::holds_alternative<delivery::part_head>(arrived)) {
        avoidance_.on_answered(agent);
    }
}

void forwarder::send_attempt(delivery_state& state, const delivery::send_attempt& wanted,
                             step& now) {
    wire::forward_to_agent content;
    auto* fields = content.mutable_run();
    *fields = state.order.attempt;
    fields->set_request(state.order.request.value());
    fields->set_attempt(wanted.attempt);
    fields->set_agent_incarnation(wanted.life.value());
    fields->set_deadline_ms(wanted.time_left.count());
    fields->set_suspect(wanted.suspect);
    send(wanted.to, content, now);
}

void forwarder::send(const node_id& to, const wire::forward_to_agent& content, step& now) {
    now.send(to, std::string(name()), content.SerializeAsString());
}

void forwarder::cancel(request_id request, std::uint32_t attempt, const node_id& at, step& now) {
    wire::forward_to_agent content;
    content.mutable_cancel()->set_request(request.value());
    content.mutable_cancel()->set_attempt(attempt);
    send(at, content, now);
}

} // namespace camphorgrade::gateway
