#include <delivery_sim/world.h>

#include <utility>

namespace camphorgrade::delivery::sim {

namespace {

constexpr duration poison_delay{3};
constexpr int status_ok = 200;

std::string chunk_of(const std::string& body, unsigned index) {
    return body + "#" + std::to_string(index) + ";";
}

} // namespace

world::world(const world_settings& settings)
    : settings_(settings), cluster_(settings.seed), began_(cluster_.now()) {
    cluster_.answer_calls_with(this);
    known_.backends_visible = settings.backends_visible;
    cluster_.observe([this](const node_id& node, const effect& each) { watch(node, each); });
    for (unsigned i = 1; i <= settings.gateways; ++i) {
        known_.nodes.emplace_back("g" + std::to_string(i));
    }
    for (unsigned i = 1; i <= settings.agents; ++i) {
        known_.nodes.emplace_back("a" + std::to_string(i));
    }
    for (unsigned i = 0; i < settings.gateways; ++i) {
        add_gateway(known_.nodes[i]);
    }
    for (std::size_t i = settings.gateways; i < known_.nodes.size(); ++i) {
        add_agent(known_.nodes[i]);
    }
}

void world::add_gateway(const node_id& name) {
    cluster_.add(name, [this](micro_kernel& kernel) {
        kernel.add(std::make_unique<quarantine>(quarantine_settings{}, known_));
        kernel.add(std::make_unique<sim_gateway>(settings_.delivery, settings_.budget, known_,
                                                 *this, *this));
    });
}

void world::add_agent(const node_id& name) {
    backend_up_[name] = true;
    known_.agents[name].life = incarnation{1};
    cluster_.add(name, [this](micro_kernel& kernel) {
        kernel.add(std::make_unique<quarantine>(quarantine_settings{}, known_));
        kernel.add(std::make_unique<once_records>(settings_.once));
        kernel.add(std::make_unique<sim_agent>(known_));
    });
}

void world::watch(const node_id& node, const effect& seen) {
    if (std::holds_alternative<exit_process>(seen)) {
        note("process " + node.value() + " stopped");
    }
    const auto* sent = std::get_if<send_message>(&seen);
    wire::forward_to_agent content;
    if (sent != nullptr && sent->content.service == "agent" &&
        content.ParseFromString(sent->content.payload) && content.has_run()) {
        last_offer_ms_[sent->content.to] = now_ms();
    }
}

std::int64_t world::last_offer_ms(const node_id& agent) const {
    const auto found = last_offer_ms_.find(agent);
    return found == last_offer_ms_.end() ? 0 : found->second;
}

std::int64_t world::now_ms() const {
    return (cluster_.now() - began_).count();
}

std::string world::whole_answer(const std::string& body, unsigned chunks) {
    std::string whole;
    for (unsigned i = 0; i < chunks; ++i) {
        whole += chunk_of(body, i);
    }
    return whole;
}

unsigned world::runs(const std::string& body) const {
    const auto found = runs_.find(body);
    return found == runs_.end() ? 0 : found->second;
}

void world::note(std::string what) {
    observations_.push_back({now_ms(), std::move(what)});
}

void world::later(duration delay, std::function<void()> action) {
    later_.emplace(cluster_.now() + delay, std::move(action));
}

void world::run_for(duration span) {
    const time_point end = cluster_.now() + span;
    while (cluster_.now() < end) {
        cluster_.run_for(duration{1});
        while (!later_.empty() && later_.begin()->first <= cluster_.now()) {
            const std::function<void()> action = std::move(later_.begin()->second);
            later_.erase(later_.begin());
            action();
        }
    }
}

void world::submit(const request_spec& spec) {
    callers_[spec.name].sent = cluster_.now();
    gateway_of_[spec.name] = spec.gateway;
    body_of_[spec.name] = spec.body;
    const bool reachable = cluster_.alive(spec.gateway) && !cluster_.paused(spec.gateway);
    if (!reachable) {
        callers_[spec.name].cut = true;
        return;
    }
    cluster_.act(spec.gateway, [&](micro_kernel& kernel, step& now) {
        kernel.find<sim_gateway>("gateway").submit(spec, now);
    });
}

void world::withdraw(const std::string& account) {
    withdrawn_.insert(account);
}

bool world::admits(const std::string& account) const {
    return !withdrawn_.contains(account);
}

void world::drop_caller(const std::string& name) {
    caller_view& view = callers_.at(name);
    view.gone = !view.done();
    const node_id& gateway = gateway_of_.at(name);
    if (cluster_.alive(gateway) && !cluster_.paused(gateway)) {
        cluster_.act(gateway, [&](micro_kernel& kernel, step& now) {
            kernel.find<sim_gateway>("gateway").drop(name, now);
        });
    }
}

void world::kill(const node_id& node) {
    cluster_.kill(node);
    for (auto& [name, view] : callers_) {
        if (gateway_of_.at(name) == node && !view.done()) {
            view.cut = true;
            view.ended = cluster_.now();
        }
    }
    if (known_.agents.contains(node)) {
        later(settings_.knowledge_lag,
              [this, node] { known_.agents[node].up = cluster_.alive(node); });
    }
}

void world::restart(const node_id& node) {
    cluster_.restart(node);
    if (known_.agents.contains(node)) {
        later(settings_.knowledge_lag, [this, node] {
            if (cluster_.alive(node)) {
                known_.agents[node].life = cluster_.kernel(node).life();
                known_.agents[node].up = true;
                known_.agents[node].leaving = false;
            }
        });
    }
}

void world::leave(const node_id& agent) {
    cluster_.post(agent, shutdown_requested{});
    later(settings_.knowledge_lag, [this, agent] { known_.agents[agent].leaving = true; });
}

void world::kill_backend(const node_id& agent) {
    backend_up_[agent] = false;
    known_.agents[agent].backend_up = false;
    note("backend " + agent.value() + " died");
    std::vector<running_call> ending;
    for (const auto& [id, service] : running_) {
        if (id.first == agent) {
            ending.push_back(id);
        }
    }
    for (const running_call& id : ending) {
        progress(id, call_failure{call_failure_kind::broken});
    }
    later(settings_.backend_restart, [this, agent] {
        backend_up_[agent] = true;
        known_.agents[agent].backend_up = true;
    });
}

void world::progress(const running_call& id, const call_progress& next) {
    const auto found = running_.find(id);
    if (found == running_.end()) {
        return;
    }
    const std::string service = found->second;
    const auto [node, call] = id;
    if (std::holds_alternative<http_end>(next) || std::holds_alternative<call_failure>(next)) {
        running_.erase(found);
    }
    cluster_.post(node, call_progressed{service, call, next});
}

void world::on_call(const node_id& node, const call_backend& call) {
    if (!backend_up_[node]) {
        cluster_.post_later(
            node,
            call_progressed{call.service, call.call, call_failure{call_failure_kind::not_sent}},
            duration{1});
        return;
    }
    const std::string& body = call.request.body;
    ++call_count_;
    ++runs_[body];
    note("backend " + node.value() + " runs " + body);
    const running_call id{node, call.call};
    running_.emplace(id, call.service);
    if (body.starts_with("poison")) {
        later(poison_delay, [this, id] {
            if (running_.contains(id)) {
                kill_backend(id.first);
            }
        });
        return;
    }
    later(settings_.first_chunk, [this, id, body] {
        progress(id, http_head{status_ok, {}});
        next_chunk(id, body, 0);
    });
}

void world::next_chunk(const running_call& id, const std::string& body, unsigned index) {
    if (index == settings_.chunks) {
        progress(id, http_end{});
        return;
    }
    progress(id, http_chunk{chunk_of(body, index)});
    later(settings_.next_chunk, [this, id, body, index] { next_chunk(id, body, index + 1); });
}

void world::on_cancel(const node_id& node, call_id call) {
    running_.erase({node, call});
}

void world::on_answer(const std::string& name, const call_progress& part) {
    caller_view& view = callers_.at(name);
    if (const auto* head = std::get_if<http_head>(&part)) {
        view.status = head->status;
        return;
    }
    if (const auto* chunk = std::get_if<http_chunk>(&part)) {
        view.bytes += chunk->bytes;
        return;
    }
    view.ended = cluster_.now();
    view.whole = std::holds_alternative<http_end>(part);
    view.cut = !view.whole;
    const bool right = view.bytes == whole_answer(body_of_.at(name), settings_.chunks);
    note("caller " + name + (!view.whole ? " incomplete" : right ? " whole" : " wrong"));
}

void world::on_refusal(const std::string& name, const refusal& reason) {
    caller_view& view = callers_.at(name);
    view.refused = reason;
    view.ended = cluster_.now();
    note("caller " + name + " refused " + name_of(reason.type) + " " + refusal_word(reason.run));
}

void world::on_ended(const std::string& name, const delivery_ended& how) {
    ended_[name] = how;
}

} // namespace camphorgrade::delivery::sim
