#include <serving/backend_board.h>

#include <algorithm>

namespace camphorgrade::serving {

namespace {

// Weight of the newest answer in a moving average: about the last ten answers count.
constexpr double average_weight = 0.1;
constexpr std::uint32_t most_doublings = 5;
// One measurement says no more than this of a server's speed, and the average stays within these.
constexpr double least_slowness = 0.7;
constexpr double most_slowness = 8;
// Shorter times are mostly delays of the network.
constexpr duration shortest_expected{15};

bool holds_at_least(const std::vector<held_weights>& held, const std::string& name,
                    std::uint64_t version) {
    return std::any_of(held.begin(), held.end(), [&](const held_weights& each) {
        return each.name == name && each.version >= version;
    });
}

} // namespace

backend_board::backend_board(backend_board_settings settings)
    : settings_(settings), pace_(settings.loads) {}

void backend_board::put(const backend_server& server) {
    auto& view = views_[server.id];
    const bool is_new_process =
        view.server.born != server.born || view.server.address != server.address;
    if (is_new_process) {
        view.is_replaced = false;
        view.engine.reset();
        view.loading = 0;
        view.prompts.clear();
        view.seen_adapters.clear();
        view.failures = 0;
        view.avoid_until = {};
        view.last_answer = {};
        view.avoided_by.clear();
        view.failure_share = 0;
        view.slowness = 1;
        view.is_leaving = false;
        view.hold_off_until = {};
    }
    view.server = server;
    view.is_gone = false;
}

void backend_board::remove(const std::string& id) {
    if (auto* view = find(id)) {
        view->is_gone = true;
        view->server.is_draining = true;
        forget_gone();
    }
}

void backend_board::forget_gone() {
    std::erase_if(views_, [](const auto& each) {
        const auto& view = each.second;
        return view.is_gone && view.in_flight == 0 && view.demand.empty();
    });
}

void backend_board::on_engine_state(const std::string& id, engine_state state, time_point now) {
    auto* view = find(id);
    if (view == nullptr) {
        return;
    }
    const auto& old = view->engine;
    const bool is_older =
        old && (state.agent_life < old->agent_life ||
                (state.agent_life == old->agent_life && state.sequence <= old->sequence));
    if (is_older) {
        return;
    }
    if (old && old->born != state.born) {
        view->prompts.clear();
        view->seen_adapters.clear();
    }
    for (const auto& each : state.adapters) {
        view->seen_adapters.insert(each.weights.name);
    }
    note_load(old, state);
    view->loading = static_cast<std::uint32_t>(
        std::count_if(state.adapters.begin(), state.adapters.end(),
                      [](const adapter_place& each) { return each.is_loading; }));
    view->is_replaced = view->server.born != 0 && state.born > view->server.born;
    view->engine = std::move(state);
    view->engine_heard = now;
    view->queued_at_report = view->queued_prompt_tokens;
}

void backend_board::note_load(const std::optional<engine_state>& before, const engine_state& now) {
    const bool is_news = before && before->agent_life == now.agent_life &&
                         before->born == now.born && now.cold_loads > before->cold_loads;
    if (is_news) {
        pace_.on_load(now.last_cold_load, loads_under_way());
    }
}

std::uint32_t backend_board::loads_under_way() const {
    std::uint32_t loads = 0;
    for (const auto& each : views_) {
        loads += each.second.loading;
    }
    return loads;
}

backend_view* backend_board::find(const std::string& id) {
    const auto found = views_.find(id);
    return found == views_.end() ? nullptr : &found->second;
}

const backend_view* backend_board::find(const std::string& id) const {
    const auto found = views_.find(id);
    return found == views_.end() ? nullptr : &found->second;
}

std::vector<backend_view*> backend_board::of_service(const std::string& service) {
    std::vector<backend_view*> out;
    for (auto& [id, view] : views_) {
        if (view.server.service == service && !view.server.is_draining && !view.is_leaving) {
            out.push_back(&view);
        }
    }
    return out;
}

void backend_board::on_leaving(const std::string& id) {
    if (auto* view = find(id)) {
        view->is_leaving = true;
    }
}

void backend_board::on_hold_off(const std::string& id, time_point until) {
    if (auto* view = find(id)) {
        view->hold_off_until = std::max(view->hold_off_until, until);
    }
}

bool backend_board::takes_work(const backend_view& view, time_point now) {
    return !view.server.is_draining && !view.is_leaving && now >= view.hold_off_until;
}

void backend_board::on_failure(const std::string& id, time_point now) {
    auto* view = find(id);
    if (view == nullptr) {
        return;
    }
    const auto doublings = std::min(view->failures, most_doublings);
    ++view->failures;
    view->avoid_until = now + std::min(settings_.longest_avoidance,
                                       duration{settings_.first_avoidance.count() << doublings});
    view->failure_share += average_weight * (1 - view->failure_share);
}

std::vector<server_trouble> backend_board::troubles(time_point now) const {
    std::vector<server_trouble> out;
    for (const auto& [id, view] : views_) {
        if (view.avoid_until > now && !view.is_gone) {
            out.push_back({id, view.server.born});
        }
    }
    return out;
}

void backend_board::on_peer_troubles(const std::string& peer,
                                     const std::vector<server_trouble>& troubles, time_point now) {
    for (const auto& each : troubles) {
        auto* view = find(each.id);
        if (view != nullptr && view->server.born == each.born) {
            view->avoided_by[peer] = now;
        }
    }
}

bool backend_board::is_avoided(const backend_view& view, time_point now) const {
    if (view.avoid_until > now) {
        return true;
    }
    const bool has_own_word =
        view.last_answer != time_point{} && now - view.last_answer < settings_.own_word;
    if (has_own_word || view.avoided_by.empty()) {
        return false;
    }
    const auto peers =
        std::count_if(view.avoided_by.begin(), view.avoided_by.end(),
                      [&](const auto& each) { return now - each.second < settings_.peer_word; });
    return static_cast<std::size_t>(peers) >= settings_.avoiding_peers;
}

void backend_board::on_speed(const std::string& id, duration measured, duration expected) {
    auto* view = find(id);
    if (view == nullptr || expected < shortest_expected) {
        return;
    }
    const double ratio =
        std::clamp(static_cast<double>(measured.count()) / static_cast<double>(expected.count()),
                   least_slowness, most_slowness);
    view->slowness += average_weight * (ratio - view->slowness);
}

std::uint64_t backend_board::queued_prompt_tokens(const backend_view& view, time_point now) const {
    if (!has_fresh_engine(view, now)) {
        return view.queued_prompt_tokens;
    }
    const auto reported = view.engine->queued_prompt_tokens;
    const auto sent_since = view.queued_prompt_tokens > view.queued_at_report
                                ? view.queued_prompt_tokens - view.queued_at_report
                                : 0;
    return std::max(reported + sent_since, view.queued_prompt_tokens);
}

void backend_board::on_answer(const std::string& id, bool failed, time_point now) {
    auto* view = find(id);
    if (view == nullptr) {
        return;
    }
    view->failures = 0;
    view->avoid_until = {};
    view->last_answer = now;
    view->failure_share += average_weight * ((failed ? 1.0 : 0.0) - view->failure_share);
}

void backend_board::on_missing(const std::string& id, const held_weights& weights) {
    auto* view = find(id);
    if (view == nullptr) {
        return;
    }
    const auto is_it = [&](const held_weights& each) { return each.name == weights.name; };
    std::erase_if(view->server.held, is_it);
    if (view->engine) {
        std::erase_if(view->engine->adapters,
                      [&](const adapter_place& each) { return is_it(each.weights); });
    }
}

bool backend_board::has_fresh_engine(const backend_view& view, time_point now) const {
    return view.engine && now - view.engine_heard < settings_.engine_silence;
}

bool backend_board::holds(const backend_view& view, const std::string& weights,
                          std::uint64_t version, time_point now) const {
    if (!has_fresh_engine(view, now)) {
        return holds_at_least(view.server.held, weights, version);
    }
    if (holds_at_least(view.engine->models, weights, version)) {
        return true;
    }
    const auto& adapters = view.engine->adapters;
    return std::any_of(adapters.begin(), adapters.end(), [&](const adapter_place& each) {
        return !each.is_loading && each.weights.name == weights && each.weights.version >= version;
    });
}

} // namespace camphorgrade::serving
