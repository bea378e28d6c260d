#include <serving/backend_registry.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

namespace {

// Weight of the newest sample in a moving average; about the last ten samples count.
constexpr double average_weight = 0.1;
constexpr std::uint32_t max_doublings = 5;
// Bounds of each measured latency ratio, and therefore of the average.
constexpr double min_latency_ratio = 0.7;
constexpr double max_latency_ratio = 8;
// Shorter times consist mostly of network delay.
constexpr duration min_expected_time{15};

bool holds_at_least(const std::vector<versioned_weights>& held, const std::string& name,
                    std::uint64_t version) {
    return std::any_of(held.begin(), held.end(), [&](const versioned_weights& each) {
        return each.name == name && each.version >= version;
    });
}

} // namespace

backend_registry::backend_registry(backend_registry_settings settings)
    : settings_(settings), load_times_(settings.load_times) {}

void backend_registry::put(const backend_server& server) {
    auto& view = views_[server.id];
    const bool is_new_process =
        view.server.started_at_ms != server.started_at_ms || view.server.address != server.address;
    if (is_new_process) {
        view.is_replaced = false;
        view.engine.reset();
        view.loading = 0;
        view.prompts.clear();
        view.previously_held_adapters.clear();
        view.consecutive_failures = 0;
        view.avoid_until = {};
        view.last_response_at = {};
        view.avoided_by.clear();
        view.failure_rate = 0;
        view.latency_ratio = 1;
        view.is_leaving = false;
        view.hold_off_until = {};
    }
    view.server = server;
    view.is_removed = false;
    view.is_evacuated = evacuated_.count(server.data_centre) != 0;
    if (server.is_draining) {
        mark_leaving(server.process());
    }
    view.is_leaving = view.is_leaving || leaving_.count(server.process()) != 0;
}

void backend_registry::mark_leaving(const server_process& process) {
    if (process.started_at_ms == 0 || !leaving_.insert(process).second) {
        return; // without its start time, a later process can't be told apart
    }
    leaving_in_order_.push_back(process);
    if (leaving_in_order_.size() > settings_.max_leaving_processes) {
        leaving_.erase(leaving_in_order_.front());
        leaving_in_order_.pop_front();
    }
}

void backend_registry::set_evacuated(std::set<std::string> data_centres) {
    evacuated_ = std::move(data_centres);
    for (auto& [id, view] : views_) {
        view.is_evacuated = evacuated_.count(view.server.data_centre) != 0;
    }
}

void backend_registry::remove(const std::string& id) {
    if (auto* view = find(id)) {
        view->is_removed = true;
        view->server.is_draining = true;
        erase_removed();
    }
}

void backend_registry::erase_removed() {
    std::erase_if(views_, [](const auto& each) {
        const auto& view = each.second;
        return view.is_removed && view.in_flight == 0 && view.demand.empty();
    });
}

void backend_registry::on_engine_state(const std::string& id, engine_state state, time_point now) {
    auto* view = find(id);
    if (view == nullptr) {
        return;
    }
    const auto& old = view->engine;
    const bool is_older =
        old &&
        (state.agent_incarnation < old->agent_incarnation ||
         (state.agent_incarnation == old->agent_incarnation && state.sequence <= old->sequence));
    if (is_older) {
        return;
    }
    if (old && old->started_at_ms != state.started_at_ms) {
        view->prompts.clear();
        view->previously_held_adapters.clear();
    }
    for (const auto& each : state.adapters) {
        view->previously_held_adapters.insert(each.weights.name);
    }
    update_load_times(old, state);
    view->loading = static_cast<std::uint32_t>(
        std::count_if(state.adapters.begin(), state.adapters.end(),
                      [](const adapter_status& each) { return each.is_loading; }));
    view->is_replaced =
        view->server.started_at_ms != 0 && state.started_at_ms > view->server.started_at_ms;
    view->engine = std::move(state);
    view->engine_reported_at = now;
    view->queued_prompt_tokens_at_report = view->queued_prompt_tokens;
}

void backend_registry::update_load_times(const std::optional<engine_state>& before,
                                         const engine_state& now) {
    const bool has_new_load = before && before->agent_incarnation == now.agent_incarnation &&
                              before->started_at_ms == now.started_at_ms &&
                              now.cold_loads > before->cold_loads;
    if (has_new_load) {
        load_times_.on_load(now.last_cold_load, loads_under_way());
    }
}

std::uint32_t backend_registry::loads_under_way() const {
    std::uint32_t loads = 0;
    for (const auto& each : views_) {
        loads += each.second.loading;
    }
    return loads;
}

backend_view* backend_registry::find(const std::string& id) {
    const auto found = views_.find(id);
    return found == views_.end() ? nullptr : &found->second;
}

const backend_view* backend_registry::find(const std::string& id) const {
    const auto found = views_.find(id);
    return found == views_.end() ? nullptr : &found->second;
}

std::vector<backend_view*> backend_registry::servers_of_service(const std::string& service) {
    std::vector<backend_view*> out;
    for (auto& [id, view] : views_) {
        const bool is_leaving = view.server.is_draining || view.is_leaving;
        if (view.server.service == service && !is_leaving && !view.is_evacuated) {
            out.push_back(&view);
        }
    }
    return out;
}

void backend_registry::on_leaving(const std::string& id) {
    if (auto* view = find(id)) {
        view->is_leaving = true;
        mark_leaving(view->server.process());
    }
}

void backend_registry::on_hold_off(const std::string& id, time_point until) {
    if (auto* view = find(id)) {
        view->hold_off_until = std::max(view->hold_off_until, until);
    }
}

bool backend_registry::accepts_requests(const backend_view& view, time_point now) {
    return !view.server.is_draining && !view.is_leaving && !view.is_evacuated &&
           now >= view.hold_off_until;
}

void backend_registry::on_failure(const std::string& id, time_point now) {
    auto* view = find(id);
    if (view == nullptr) {
        return;
    }
    const auto doublings = std::min(view->consecutive_failures, max_doublings);
    ++view->consecutive_failures;
    view->avoid_until = now + std::min(settings_.max_backoff,
                                       duration{settings_.initial_backoff.count() << doublings});
    view->failure_rate += average_weight * (1 - view->failure_rate);
}

std::vector<server_process> backend_registry::avoided_servers(time_point now) const {
    std::vector<server_process> out;
    for (const auto& [id, view] : views_) {
        if (view.avoid_until > now && !view.is_removed) {
            out.push_back({id, view.server.started_at_ms});
        }
    }
    return out;
}

void backend_registry::on_peer_avoided_servers(const std::string& peer,
                                               const std::vector<server_process>& servers,
                                               time_point now) {
    for (const auto& each : servers) {
        auto* view = find(each.id);
        if (view != nullptr && view->server.started_at_ms == each.started_at_ms) {
            view->avoided_by[peer] = now;
        }
    }
}

bool backend_registry::is_avoided(const backend_view& view, time_point now) const {
    if (view.avoid_until > now) {
        return true;
    }
    const bool has_own_response = view.last_response_at != time_point{} &&
                                  now - view.last_response_at < settings_.own_response_expiry;
    if (has_own_response || view.avoided_by.empty()) {
        return false;
    }
    const auto peers =
        std::count_if(view.avoided_by.begin(), view.avoided_by.end(), [&](const auto& each) {
            return now - each.second < settings_.peer_report_expiry;
        });
    return static_cast<std::size_t>(peers) >= settings_.min_avoiding_peers;
}

void backend_registry::on_latency(const std::string& id, duration measured, duration expected) {
    auto* view = find(id);
    if (view == nullptr || expected < min_expected_time) {
        return;
    }
    const double ratio =
        std::clamp(static_cast<double>(measured.count()) / static_cast<double>(expected.count()),
                   min_latency_ratio, max_latency_ratio);
    view->latency_ratio += average_weight * (ratio - view->latency_ratio);
}

std::uint64_t backend_registry::queued_prompt_tokens(const backend_view& view,
                                                     time_point now) const {
    if (!has_recent_report(view, now)) {
        return view.queued_prompt_tokens;
    }
    const auto reported = view.engine->queued_prompt_tokens;
    const auto sent_since = view.queued_prompt_tokens > view.queued_prompt_tokens_at_report
                                ? view.queued_prompt_tokens - view.queued_prompt_tokens_at_report
                                : 0;
    return std::max(reported + sent_since, view.queued_prompt_tokens);
}

void backend_registry::on_response(const std::string& id, bool failed, time_point now) {
    auto* view = find(id);
    if (view == nullptr) {
        return;
    }
    view->consecutive_failures = 0;
    view->avoid_until = {};
    view->last_response_at = now;
    view->failure_rate += average_weight * ((failed ? 1.0 : 0.0) - view->failure_rate);
}

void backend_registry::on_weights_missing(const std::string& id, const versioned_weights& weights) {
    auto* view = find(id);
    if (view == nullptr) {
        return;
    }
    const auto has_name = [&](const versioned_weights& each) { return each.name == weights.name; };
    std::erase_if(view->server.held, has_name);
    if (view->engine) {
        std::erase_if(view->engine->adapters,
                      [&](const adapter_status& each) { return has_name(each.weights); });
    }
}

bool backend_registry::has_recent_report(const backend_view& view, time_point now) const {
    return view.engine && now - view.engine_reported_at < settings_.engine_report_expiry;
}

bool backend_registry::holds(const backend_view& view, const std::string& weights,
                             std::uint64_t version, time_point now) const {
    if (!has_recent_report(view, now)) {
        return holds_at_least(view.server.held, weights, version);
    }
    if (holds_at_least(view.engine->models, weights, version)) {
        return true;
    }
    const auto& adapters = view.engine->adapters;
    return std::any_of(adapters.begin(), adapters.end(), [&](const adapter_status& each) {
        return !each.is_loading && each.weights.name == weights && each.weights.version >= version;
    });
}

} // namespace camphorgrade::serving
