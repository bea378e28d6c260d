#include "agent_node.h"

#include <algorithm>
#include <csignal>
#include <utility>

namespace camphorgrade::engine_agent {

namespace {

constexpr int status_ok = 200;
constexpr duration state_log_interval{1'000};

// About a tenth of a second of an engine's reading.
constexpr std::uint64_t telling_prompt_tokens = 3'000;

/** Whether the engine's backlog of prompts changed so much that placements would differ. */
bool differs_in_backlog(const serving::engine_state& a, const serving::engine_state& b) {
    const auto [less, more] = std::minmax(a.queued_prompt_tokens, b.queued_prompt_tokens);
    return more - less >= telling_prompt_tokens;
}

/** Whether gateways decide otherwise on `b` than on `a`; load figures alone can wait. */
bool differs_in_adapters(const serving::engine_state& a, const serving::engine_state& b) {
    return a.started_at_ms != b.started_at_ms || a.models != b.models || a.adapters != b.adapters ||
           a.pending_model.has_value() != b.pending_model.has_value() ||
           a.available_adapter_slots != b.available_adapter_slots ||
           a.is_reachable != b.is_reachable;
}

} // namespace

agent_node::agent_node(const agent_settings& settings, const engine_port_factory& make_engine)
    : settings_(settings), log_(settings.node_name, clock_, sink_, {}), pool_(loop_, clock_, {}),
      calls_(loop_, pool_), engine_(make_engine(calls_)), keeper_({}),
      socket_(loop_, clock_,
              {boost::asio::ip::make_address(settings.peer_address.ip), settings.peer_address.port},
              settings.incarnation, {},
              [this](const peering::peer_message& message, const peering::receive_info&) {
                  on_message(message);
              }),
      named_(settings.max_gateways_per_report), server_(loop_, clock_, *this), look_timer_(loop_),
      report_timer_(loop_), signals_(loop_, SIGTERM, SIGINT, SIGHUP) {}

void agent_node::run() {
    log_.line("process_started")
        .text("role", "engine_agent")
        .number("life", static_cast<std::int64_t>(settings_.incarnation));
    listen_for_metrics();
    wait_for_signal();
    look();
    schedule_report(settings_.heartbeat_interval);
    loop_.run();
    log_.line("process_stopped");
    log_.flush();
}

void agent_node::listen_for_metrics() {
    if (settings_.metrics_address.port == 0) {
        return;
    }
    try {
        server_.listen({boost::asio::ip::make_address(settings_.metrics_address.ip),
                        settings_.metrics_address.port});
    } catch (const boost::system::system_error& error) {
        // The engine is kept all the same.
        log_.line("metrics_not_served").text("reason", error.code().message());
    }
}

void agent_node::wait_for_signal() {
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error) {
            return;
        }
        if (signal == SIGHUP) {
            log_.line("settings_reload").flag("changed", false);
            wait_for_signal();
        } else {
            log_.line("shutdown_began");
            loop_.stop();
        }
    });
}

void agent_node::on_request(std::shared_ptr<edge::caller_exchange> exchange) {
    exchange->answer({status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}},
                     metrics_.prometheus_text());
}

void agent_node::on_message(const peering::peer_message& message) {
    const auto* demand = std::get_if<adapters::engine_demand>(&message.body);
    if (demand == nullptr) {
        return;
    }
    const auto result = keeper_.on_demand(message.sender, *demand, clock_.now());
    if (result == adapters::demand_result::for_earlier_process) {
        tell_of_restart(message.sender, *demand);
    }
    give_orders();
    report_soon();
    if (keeper_.is_active() && !is_looking_) {
        schedule_look(settings_.active_poll_interval);
    }
}

void agent_node::tell_of_restart(const std::string& gateway,
                                 const adapters::engine_demand& demand) {
    log_.line("demand_for_earlier_process")
        .text("gateway", gateway)
        .text("backend_server", demand.backend_id)
        .number("demand_born", static_cast<std::int64_t>(demand.backend_started_at_ms))
        .number("engine_born", static_cast<std::int64_t>(keeper_.snapshot().started_at_ms));
    peering::engine_report out;
    out.backend_id = demand.backend_id;
    out.state = present_state();
    socket_.send({gateway}, std::move(out));
}

void agent_node::look() {
    is_looking_ = true;
    const auto results_seen = keeper_.order_result_count();
    engine_->snapshot([this, results_seen](std::optional<adapters::engine_snapshot> snapshot) {
        on_snapshot(std::move(snapshot), results_seen);
    });
}

void agent_node::on_snapshot(std::optional<adapters::engine_snapshot> snapshot,
                             std::uint64_t results_seen) {
    is_looking_ = false;
    const bool is_reachable = snapshot.has_value();
    if (is_reachable != is_engine_reachable_) {
        is_engine_reachable_ = is_reachable;
        log_.line(is_reachable ? "engine_regained" : "engine_lost")
            .text("backend_server", keeper_.backend_id());
    }
    if (snapshot) {
        keeper_.on_snapshot(std::move(*snapshot), results_seen, clock_.now());
        give_orders();
    }
    report_soon();
    const bool is_urgent = is_reachable && keeper_.is_active();
    schedule_look(is_urgent ? settings_.active_poll_interval : settings_.idle_poll_interval);
}

void agent_node::give_orders() {
    const auto order = keeper_.next_order(clock_.now());
    if (!order) {
        return;
    }
    engine_->order(
        *order, keeper_.backend_id(), [this, given = *order](adapters::order_result result) {
            log_.line("order_given")
                .text("kind", given.kind == adapters::order_kind::load ? "load" : "unload")
                .text("weights", given.weights.name)
                .number("version", static_cast<std::int64_t>(given.weights.version))
                .number("expected_sequence", static_cast<std::int64_t>(given.expected_sequence))
                .text("result", to_string(result));
            metrics_.count("camphor_engine_orders_total",
                           {{"result", std::string(to_string(result))}});
            keeper_.on_order_result(given, result, clock_.now());
            if (!is_looking_) {
                look();
            }
        });
}

void agent_node::schedule_look(duration after) {
    look_timer_.expires_after(after);
    look_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && !is_looking_) {
            look();
        }
    });
}

void agent_node::report_soon() {
    if (!keeper_.has_snapshot() || is_report_soon_) {
        return;
    }
    const auto state = present_state();
    if (!reported_ || differs_in_adapters(*reported_, state) ||
        differs_in_backlog(*reported_, state)) {
        is_report_soon_ = true;
        schedule_report(settings_.report_delay);
    }
}

void agent_node::schedule_report(duration after) {
    report_timer_.expires_after(after);
    report_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error) {
            return;
        }
        is_report_soon_ = false;
        report();
        log_.flush();
        schedule_report(is_owed_ ? settings_.report_interval : settings_.heartbeat_interval);
    });
}

void agent_node::log_state(const serving::engine_state& state) {
    const auto now = clock_.now();
    if (now - state_logged_ < state_log_interval) {
        return;
    }
    state_logged_ = now;
    std::int64_t loading = 0;
    for (const auto& each : state.adapters) {
        loading += each.is_loading ? 1 : 0;
    }
    log_.line("engine_state")
        .text("backend_server", keeper_.backend_id())
        .number("adapters", static_cast<std::int64_t>(state.adapters.size()) - loading)
        .number("loading", loading)
        .number("evictable", state.available_adapter_slots)
        .number("wanted", static_cast<std::int64_t>(keeper_.wanted_count()))
        .number("waiting", state.waiting)
        .number("running", state.running)
        .number("kv_used", static_cast<std::int64_t>(state.kv_used))
        .number("kv_total", static_cast<std::int64_t>(state.kv_total))
        .number("queued_prompt_tokens", static_cast<std::int64_t>(state.queued_prompt_tokens));
}

serving::engine_state agent_node::present_state() const {
    auto state = keeper_.state(clock_.now());
    state.is_reachable = is_engine_reachable_;
    return state;
}

void agent_node::report() {
    if (!keeper_.has_snapshot() || keeper_.backend_id().empty()) {
        return;
    }
    peering::engine_report out;
    out.backend_id = keeper_.backend_id();
    out.state = present_state();
    const auto now = clock_.now();
    auto listeners = keeper_.subscribers(adapters::report_subscription::direct, now);
    const auto relays = keeper_.subscribers(adapters::report_subscription::relay, now);
    out.gateways = named_.next(listeners.empty() ? relays : listeners);
    const bool is_for_all = now - told_all_at_ >= settings_.report_interval;
    const bool is_for_relays = now - told_relays_at_ >= settings_.relayed_report_interval;
    is_owed_ = !is_for_all || !is_for_relays;
    told_all_at_ = is_for_all ? now : told_all_at_;
    told_relays_at_ = is_for_relays ? now : told_relays_at_;
    reported_ = out.state;
    log_state(out.state);
    auto to = keeper_.waiting_gateways();
    if (is_for_relays) {
        socket_.send(relays, out, {true, false});
    }
    if (is_for_all) {
        to.insert(to.end(), listeners.begin(), listeners.end());
    }
    std::sort(to.begin(), to.end());
    to.erase(std::unique(to.begin(), to.end()), to.end());
    socket_.send(to, std::move(out));
}

int run_agent(const agent_settings& settings, const engine_port_factory& make_engine) {
    agent_node node(settings, make_engine);
    node.run();
    return 0;
}

} // namespace camphorgrade::engine_agent
