#include "agent_node.h"

#include <edge/stop_signals.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace camphorgrade::engine_agent {

namespace {

constexpr int status_ok = 200;
constexpr duration state_log_interval{1'000};

// The prompt tokens that an engine processes in about 100 ms.
constexpr std::uint64_t significant_backlog_tokens = 3'000;

/** Whether the backlog of prompt tokens changed enough to affect placement. */
bool has_backlog_changed(const serving::engine_state& a, const serving::engine_state& b) {
    const auto [less, more] = std::minmax(a.queued_prompt_tokens, b.queued_prompt_tokens);
    return more - less >= significant_backlog_tokens;
}

/** Whether the change from `a` to `b` affects placement; changes of load alone can wait. */
bool affects_placement(const serving::engine_state& a, const serving::engine_state& b) {
    return a.started_at_ms != b.started_at_ms || a.models != b.models || a.adapters != b.adapters ||
           a.pending_model.has_value() != b.pending_model.has_value() ||
           a.available_adapter_slots != b.available_adapter_slots ||
           a.is_reachable != b.is_reachable;
}

} // namespace

agent_node::agent_node(const agent_settings& settings, const engine_port_factory& make_engine)
    : settings_(settings), log_(settings.node_name, clock_, sink_, {}), pool_(loop_, clock_, {}),
      calls_(loop_, pool_), engine_(make_engine(calls_)), adapter_manager_(settings.adapters),
      software_versions_(settings.software),
      socket_(loop_, clock_,
              {boost::asio::ip::make_address(settings.peer_address.ip), settings.peer_address.port},
              settings.incarnation, {},
              [this](const peering::peer_message& message, const peering::receive_info&) {
                  on_message(message);
              }),
      gateway_selector_(settings.max_gateways_per_report), server_(loop_, clock_, *this),
      poll_timer_(loop_), report_timer_(loop_), signals_(loop_, SIGTERM, SIGINT, SIGHUP) {}

void agent_node::run() {
    log_.line("process_started")
        .text("role", "engine_agent")
        .number("life", static_cast<std::int64_t>(settings_.incarnation));
    listen_for_metrics();
    wait_for_signal();
    edge::deliver_stop_signals();
    poll_engine();
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
        // Managing the engine does not depend on metrics.
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
    if (const auto* demand = std::get_if<adapters::engine_demand>(&message.body)) {
        on_demand(message.sender, *demand);
    } else if (const auto* software = std::get_if<serving::software_message>(&message.body)) {
        on_software_message(message.sender, *software);
    }
}

void agent_node::on_software_message(const std::string& gateway,
                                     const serving::software_message& message) {
    const auto now = clock_.now();
    software_versions_.learn(message.history, now);
    if (message.is_query) {
        socket_.send({gateway}, serving::software_message{false, software_versions_.history(now)});
    }
}

void agent_node::on_demand(const std::string& gateway, const adapters::engine_demand& demand) {
    const auto result = adapter_manager_.on_demand(gateway, demand, clock_.now());
    if (result == adapters::demand_result::for_earlier_process) {
        notify_restart(gateway, demand);
    }
    issue_order();
    schedule_change_report();
    if (adapter_manager_.is_active() && !is_polling_) {
        schedule_poll(settings_.active_poll_interval);
    }
}

void agent_node::notify_restart(const std::string& gateway, const adapters::engine_demand& demand) {
    log_.line("demand_for_earlier_process")
        .text("gateway", gateway)
        .text("backend_server", demand.backend_id)
        .number("demand_born", static_cast<std::int64_t>(demand.backend_started_at_ms))
        .number("engine_born",
                static_cast<std::int64_t>(adapter_manager_.snapshot().started_at_ms));
    peering::engine_report out;
    out.backend_id = demand.backend_id;
    out.state = current_state();
    socket_.send({gateway}, std::move(out));
}

void agent_node::poll_engine() {
    is_polling_ = true;
    const auto order_result_count = adapter_manager_.order_result_count();
    engine_->snapshot(
        [this, order_result_count](std::optional<adapters::engine_snapshot> snapshot) {
            on_snapshot(std::move(snapshot), order_result_count);
        });
}

void agent_node::on_snapshot(std::optional<adapters::engine_snapshot> snapshot,
                             std::uint64_t order_result_count) {
    is_polling_ = false;
    const bool is_reachable = snapshot.has_value();
    if (is_reachable != is_engine_reachable_) {
        is_engine_reachable_ = is_reachable;
        log_.line(is_reachable ? "engine_regained" : "engine_lost")
            .text("backend_server", adapter_manager_.backend_id());
    }
    if (snapshot) {
        adapter_manager_.on_snapshot(std::move(*snapshot), order_result_count, clock_.now());
        issue_order();
    }
    schedule_change_report();
    const bool needs_fast_poll = is_reachable && adapter_manager_.is_active();
    schedule_poll(needs_fast_poll ? settings_.active_poll_interval : settings_.idle_poll_interval);
}

void agent_node::issue_order() {
    const auto order = adapter_manager_.next_order(clock_.now());
    if (!order) {
        return;
    }
    engine_->order(
        *order, adapter_manager_.backend_id(),
        [this, issued = *order](adapters::order_result result) {
            log_.line("order_given")
                .text("kind", issued.kind == adapters::order_kind::load ? "load" : "unload")
                .text("weights", issued.weights.name)
                .number("version", static_cast<std::int64_t>(issued.weights.version))
                .number("expected_sequence", static_cast<std::int64_t>(issued.expected_sequence))
                .text("result", to_string(result));
            metrics_.count("camphor_engine_orders_total",
                           {{"result", std::string(to_string(result))}});
            adapter_manager_.on_order_result(issued, result, clock_.now());
            if (!is_polling_) {
                poll_engine();
            }
        });
}

void agent_node::schedule_poll(duration after) {
    poll_timer_.expires_after(after);
    poll_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error && !is_polling_) {
            poll_engine();
        }
    });
}

void agent_node::schedule_change_report() {
    if (!adapter_manager_.has_snapshot() || is_change_report_scheduled_) {
        return;
    }
    const auto state = current_state();
    if (!last_reported_state_ || affects_placement(*last_reported_state_, state) ||
        has_backlog_changed(*last_reported_state_, state)) {
        is_change_report_scheduled_ = true;
        schedule_report(settings_.report_delay);
    }
}

void agent_node::schedule_report(duration after) {
    report_timer_.expires_after(after);
    report_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error) {
            return;
        }
        is_change_report_scheduled_ = false;
        report();
        log_.flush();
        schedule_report(has_unreported_gateways_ ? settings_.report_interval
                                                 : settings_.heartbeat_interval);
    });
}

void agent_node::log_state(const serving::engine_state& state) {
    const auto now = clock_.now();
    if (now - last_state_log_ < state_log_interval) {
        return;
    }
    last_state_log_ = now;
    std::int64_t loading = 0;
    for (const auto& each : state.adapters) {
        loading += each.is_loading ? 1 : 0;
    }
    log_.line("engine_state")
        .text("backend_server", adapter_manager_.backend_id())
        .number("adapters", static_cast<std::int64_t>(state.adapters.size()) - loading)
        .number("loading", loading)
        .number("evictable", state.available_adapter_slots)
        .number("wanted", static_cast<std::int64_t>(adapter_manager_.wanted_count()))
        .number("waiting", state.waiting)
        .number("running", state.running)
        .number("kv_used", static_cast<std::int64_t>(state.kv_used))
        .number("kv_total", static_cast<std::int64_t>(state.kv_total))
        .number("queued_prompt_tokens", static_cast<std::int64_t>(state.queued_prompt_tokens));
}

serving::engine_state agent_node::current_state() const {
    auto state = adapter_manager_.state(clock_.now());
    state.is_reachable = is_engine_reachable_;
    return state;
}

void agent_node::report() {
    if (!adapter_manager_.has_snapshot() || adapter_manager_.backend_id().empty()) {
        return;
    }
    peering::engine_report out;
    out.backend_id = adapter_manager_.backend_id();
    out.state = current_state();
    const auto now = clock_.now();
    auto direct_gateways = adapter_manager_.subscribers(adapters::report_subscription::direct, now);
    const auto relays = adapter_manager_.subscribers(adapters::report_subscription::relay, now);
    out.gateways = gateway_selector_.next(direct_gateways.empty() ? relays : direct_gateways);
    const bool is_due_for_all = now - last_report_to_all_ >= settings_.report_interval;
    const bool is_due_for_relays =
        now - last_report_to_relays_ >= settings_.relayed_report_interval;
    has_unreported_gateways_ = !is_due_for_all || !is_due_for_relays;
    last_report_to_all_ = is_due_for_all ? now : last_report_to_all_;
    last_report_to_relays_ = is_due_for_relays ? now : last_report_to_relays_;
    last_reported_state_ = out.state;
    log_state(out.state);
    auto to = adapter_manager_.waiting_gateways();
    if (is_due_for_relays) {
        socket_.send(relays, out, {true, false});
    }
    if (is_due_for_all) {
        to.insert(to.end(), direct_gateways.begin(), direct_gateways.end());
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
