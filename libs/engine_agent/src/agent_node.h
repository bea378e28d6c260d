#pragma once

#include <adapters/adapter_manager.h>
#include <edge/caller_server.h>
#include <edge/upstream_pool.h>
#include <engine_agent/agent_process.h>
#include <peering/peer_socket.h>
#include <peering/round_robin_selector.h>
#include <serving/software_versions.h>
#include <telemetry/event_log.h>
#include <telemetry/metrics.h>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace camphorgrade::engine_agent {

/**
 * The agent process beside an engine: connects the adapter manager, the engine and the gateways.
 */
class agent_node final : public edge::caller_handler {
public:
    agent_node(const agent_settings& settings, const engine_port_factory& make_engine);

    /** Runs until SIGTERM or SIGINT. */
    void run();

    /** Serves the metrics at every path. */
    void on_request(std::shared_ptr<edge::caller_exchange> exchange) override;
    void on_bad_request(int status) override { static_cast<void>(status); }

private:
    void on_message(const peering::peer_message& message);
    void on_demand(const std::string& gateway, const adapters::engine_demand& demand);
    /** Keeps the history of software versions for gateways, which may all restart. */
    void on_software_message(const std::string& gateway, const serving::software_message& message);
    /**
     * Sends the current state to a gateway whose demand is for an earlier process of the engine, so
     * that the gateway learns the start time of the present one.
     */
    void notify_restart(const std::string& gateway, const adapters::engine_demand& demand);
    void poll_engine();
    void on_snapshot(std::optional<adapters::engine_snapshot> snapshot,
                     std::uint64_t order_result_count);
    void issue_order();
    void schedule_poll(duration after);
    void schedule_change_report();
    void schedule_report(duration after);
    void report();
    serving::engine_state current_state() const;
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
    adapters::adapter_manager adapter_manager_;
    serving::software_versions software_versions_;
    peering::peer_socket socket_;
    peering::round_robin_selector gateway_selector_;
    edge::caller_server server_;
    boost::asio::steady_timer poll_timer_;
    boost::asio::steady_timer report_timer_;
    boost::asio::signal_set signals_;
    bool is_polling_ = false;
    bool is_change_report_scheduled_ = false;
    /** The last report was not sent to all gateways. */
    bool has_unreported_gateways_ = false;
    time_point last_report_to_all_;
    time_point last_report_to_relays_;
    bool is_engine_reachable_ = false;
    std::optional<serving::engine_state> last_reported_state_;
    time_point last_state_log_;
};

} // namespace camphorgrade::engine_agent
