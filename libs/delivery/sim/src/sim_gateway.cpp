#include <delivery_sim/sim_gateway.h>

#include <delivery/fingerprint.h>

#include <wire/forward.pb.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::delivery::sim {

namespace {

constexpr token check_token = 0;
constexpr duration check_interval{50};
constexpr duration no_backend_retry{500};

/** Agents in an order that all gateways agree on for one idempotency key. */
std::vector<node_id> by_key(std::vector<node_id> agents, const request_spec& spec) {
    const auto weight = [&](const node_id& each) {
        return fingerprint_of({spec.account, spec.key, each.value()});
    };
    std::sort(agents.begin(), agents.end(),
              [&](const node_id& a, const node_id& b) { return weight(a) < weight(b); });
    return agents;
}

} // namespace

sim_gateway::sim_gateway(const delivery_settings& settings, const retry_budget_settings& budget,
                         const directory& known, const admission& keys, caller_observer& observer)
    : settings_(settings), budget_(budget), known_(known), keys_(keys), observer_(observer) {}

void sim_gateway::attach(micro_kernel& kernel) {
    quarantine_ = &kernel.find<quarantine>("quarantine");
}

void sim_gateway::start(step& now) {
    now.emit(set_timer{"gateway", check_token, now.time() + check_interval});
}

void sim_gateway::submit(const request_spec& spec, step& now) {
    if (!keys_.admits(spec.account)) {
        observer_.on_refusal(spec.name, {refusal_type::invalid_key, run_knowledge::not_run, {}});
        return;
    }
    const fingerprint content = quarantine_fingerprint(spec.account, "service", {}, spec.body);
    const quarantine_standing standing = quarantine_->standing(content, now.time());
    if (standing.verdict == quarantine_verdict::refuse) {
        observer_.on_refusal(spec.name,
                             {refusal_type::quarantined, run_knowledge::not_run, standing.ends_in});
        return;
    }
    const request_id id{++last_request_};
    const delivery_request request{spec.rule, spec.stream, now.time() + spec.time_limit};
    auto& opened = open_.try_emplace(id, open_request{spec, {request, settings_}}).first->second;
    carry_out(id, opened.delivery.start(now.time(), budget_), now);
}

void sim_gateway::drop(const std::string& name, step& now) {
    for (auto& [id, each] : open_) {
        if (each.spec.name == name) {
            const request_id dropped = id;
            carry_out(dropped, each.delivery.on_caller_gone(now.time()), now);
            return;
        }
    }
}

void sim_gateway::on_message(const message& received, step& now) {
    wire::attempt_part content;
    if (!content.ParseFromString(received.payload) ||
        content.gateway_incarnation() != now.life().value()) {
        return;
    }
    const request_id id{content.request()};
    const auto found = open_.find(id);
    if (found == open_.end()) {
        wire::forward_to_agent cancel;
        cancel.mutable_cancel()->set_request(content.request());
        cancel.mutable_cancel()->set_attempt(content.attempt());
        now.send(received.from, "agent", cancel.SerializeAsString());
        return;
    }
    auto arrived = from_wire(content);
    if (!arrived) {
        return;
    }
    const auto* refused = std::get_if<part_refused>(&arrived->content);
    if (refused != nullptr && refused->type == refusal_type::backend_down) {
        avoidance_.on_failed(received.from, now.time(), now.random());
    } else if (std::holds_alternative<part_head>(arrived->content)) {
        avoidance_.on_answered(received.from);
    }
    const part_source source{received.from, received.from_incarnation};
    carry_out(id,
              found->second.delivery.on_part(content.attempt(), source, std::move(*arrived),
                                             now.time(), budget_, now.random()),
              now);
}

void sim_gateway::on_timer(token id, step& now) {
    if (id == check_token) {
        check_agents(now);
        now.emit(set_timer{"gateway", check_token, now.time() + check_interval});
        return;
    }
    const auto found = open_.find(request_id{id});
    if (found != open_.end()) {
        carry_out(found->first, found->second.delivery.on_timer(now.time(), budget_, now.random()),
                  now);
    }
}

void sim_gateway::check_agents(step& now) {
    std::vector<request_id> ids;
    ids.reserve(open_.size());
    for (const auto& each : open_) {
        ids.push_back(each.first);
    }
    for (const auto& [agent, state] : known_.agents) {
        // A dead life will be followed by a larger one at the earliest.
        const incarnation beyond{state.life.value() + (state.up ? 0U : 1U)};
        for (const request_id id : ids) {
            const auto found = open_.find(id);
            if (found != open_.end()) {
                carry_out(id,
                          found->second.delivery.on_agent_gone(agent, beyond, now.time(), budget_,
                                                               now.random()),
                          now);
            }
        }
    }
}

void sim_gateway::carry_out(request_id id, const delivery_effects& effects, step& now) {
    const std::string name = open_.at(id).spec.name;
    for (const delivery_effect& each : effects) {
        if (const auto* wanted = std::get_if<choose_backend>(&each)) {
            choose(id, *wanted, now);
        } else if (const auto* sent = std::get_if<send_attempt>(&each)) {
            send_run(id, *sent, now);
        } else if (const auto* cancelled = std::get_if<cancel_sent_attempt>(&each)) {
            wire::forward_to_agent out;
            out.mutable_cancel()->set_request(id.value());
            out.mutable_cancel()->set_attempt(cancelled->attempt);
            now.send(cancelled->to, "agent", out.SerializeAsString());
        } else if (const auto* acknowledged = std::get_if<acknowledge_parts>(&each)) {
            wire::forward_to_agent out;
            out.mutable_acknowledged()->set_request(id.value());
            out.mutable_acknowledged()->set_attempt(acknowledged->attempt);
            out.mutable_acknowledged()->set_next_sequence(acknowledged->next_sequence);
            now.send(acknowledged->to, "agent", out.SerializeAsString());
        } else if (const auto* forwarded = std::get_if<forward_to_caller>(&each)) {
            observer_.on_answer(name, forwarded->progress);
        } else if (const auto* refused = std::get_if<refuse_caller>(&each)) {
            observer_.on_refusal(name, refused->reason);
        } else if (const auto* wake = std::get_if<wake_at>(&each)) {
            now.emit(set_timer{"gateway", id.value(), wake->at});
        } else if (const auto* end = std::get_if<delivery_ended>(&each)) {
            observer_.on_ended(name, *end);
            open_.erase(id);
        }
    }
}

void sim_gateway::choose(request_id id, const choose_backend& wanted, step& now) {
    open_request& choosing = open_.at(id);
    const request_spec& spec = choosing.spec;
    const fingerprint content = quarantine_fingerprint(spec.account, "service", {}, spec.body);
    const quarantine_standing standing = quarantine_->standing(content, now.time());
    if (standing.verdict == quarantine_verdict::refuse) {
        carry_out(id, choosing.delivery.give_up(refusal_type::quarantined, standing.ends_in), now);
        return;
    }
    std::vector<node_id> fresh;
    std::vector<node_id> failing;
    std::vector<node_id> tried;
    for (const auto& [agent, state] : known_.agents) {
        if (!state.up || state.leaving || (known_.backends_visible && !state.backend_up)) {
            continue;
        }
        const bool again =
            std::find(wanted.tried.begin(), wanted.tried.end(), agent) != wanted.tried.end();
        const bool avoided = avoidance_.avoided(agent, now.time());
        (again ? tried : avoided ? failing : fresh).push_back(agent);
    }
    std::vector<node_id>& candidates = !fresh.empty() ? fresh : failing.empty() ? tried : failing;
    if (candidates.empty()) {
        carry_out(id, choosing.delivery.no_backend(no_backend_retry, now.time()), now);
        return;
    }
    const node_id chosen = choosing.spec.key.empty()
                               ? candidates[now.random().below(candidates.size())]
                               : by_key(candidates, choosing.spec).front();
    avoidance_.on_chosen(chosen, now.time());
    carry_out(id,
              choosing.delivery.backend_chosen(chosen, known_.agents.at(chosen).life, now.time()),
              now);
}

void sim_gateway::send_run(request_id id, const send_attempt& sent, step& now) {
    const request_spec& spec = open_.at(id).spec;
    wire::forward_to_agent out;
    wire::run_attempt& run = *out.mutable_run();
    run.set_request(id.value());
    run.set_attempt(sent.attempt);
    run.set_client_account(spec.account);
    run.set_service("service");
    run.set_method("POST");
    run.set_path("/services/service");
    run.set_body(spec.body);
    run.set_deadline_ms(sent.time_left.count());
    run.set_repeatable(spec.rule == repeat_rule::repeatable);
    run.set_idempotency_key(spec.key);
    run.set_agent_incarnation(sent.life.value());
    run.set_suspect(sent.suspect);
    now.send(sent.to, "agent", out.SerializeAsString());
}

} // namespace camphorgrade::delivery::sim
