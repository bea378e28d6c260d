#pragma once

#include <adapters/adapter_manager.h>
#include <edge/caller_server.h>
#include <edge/upstream_pool.h>
#include <engine_agent/agent_process.h>
#include <peering/peer_socket.h>
#include <peering/round_robin_selector.h>
#include <telemetry/event_log.h>
#include <telemetry/metrics.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace camphorgrade::engine_agent {

/** The process beside an engine: connects its keeper, the engine, and gateways. */
class agent_node final : public edge::caller_handler {
public:
    agent_node(const agent_settings& settings, const engine_port_factory& make_engine);

    void run();

    /** Metrics, at any path. */
    void on_request(std::shared_ptr<edge::caller_exchange> exchange) override;
    void on_bad_request(int status) override { static_cast<void>(status); }

private:
    void on_message(const peering::peer_message& message);
    /** The gateway knows only a process of the engine that has ended: it hears when the present
        one began. */
    void tell_of_restart(const std::string& gateway, const adapters::engine_demand& demand);
    void look();
    void on_snapshot(std::optional<adapters::engine_snapshot> snapshot, std::uint64_t results_seen);
    void give_orders();
    void schedule_look(duration after);
    void report_soon();
    void schedule_report(duration after);
    void report();
    serving::engine_state present_state() const;
    void log_state(const serving::engine_state& state);
    void listen_for_metrics();
    void wait_for_signal();

    agent_settings settings_;
    monotonic_clock clock_;
    boost::asio::io_context loop_;
    stdout_sink sink_;
    event_log log_;
    metrics metrics_;
    edge::upstream_pool pool_;
    edge::buffered_calls calls_;
    std::unique_ptr<adapters::engine_port> engine_;
    adapters::adapter_manager keeper_;
    peering::peer_socket socket_;
    peering::round_robin_selector named_;
    edge::caller_server server_;
    boost::asio::steady_timer look_timer_;
    boost::asio::steady_timer report_timer_;
    boost::asio::signal_set signals_;
    bool is_looking_ = false;
    bool is_report_soon_ = false;
    bool is_owed_ = false; /**< Gateways that don't wait have yet to hear of the last change. */
    time_point told_all_at_;
    time_point told_relays_at_;
    bool is_engine_reachable_ = false;
    std::optional<serving::engine_state> reported_;
    time_point state_logged_;
};

} // namespace camphorgrade::engine_agent
