#pragma once

#include <adapters/adapter_manager.h>
#include <adapters/engine_port.h>
#include <edge/buffered_calls.h>
#include <serving/backend_server.h>
#include <serving/software_versions.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace camphorgrade::engine_agent {

/** Settings of the agent process beside an engine. A value type. */
struct agent_settings {
    std::string node_name;
    /** Address at which messages of the system's other processes arrive. */
    serving::network_address peer_address;
    /** Address that serves metrics; port 0: not served. */
    serving::network_address metrics_address;
    std::uint64_t incarnation = 1; /**< Larger for each later process on this VM. */
    /** Interval between engine polls while no adapter is wanted. */
    duration idle_poll_interval{100};
    /** Interval between engine polls while an adapter is loading or awaited. */
    duration active_poll_interval{15};
    duration heartbeat_interval{400}; /**< Maximum time between reports to gateways. */
    duration report_delay{4};         /**< Changes within this time are reported together. */
    /** Minimum time between reports to gateways that await no adapter. */
    duration report_interval{120};
    /** Minimum time between reports to gateways that relay them. */
    duration relayed_report_interval{240};
    /** Maximum number of gateway addresses in one report. */
    std::size_t max_gateways_per_report = 8;
    adapters::adapter_manager_settings adapters;
    /** What this process keeps for gateways. */
    serving::software_versions_settings software;

    friend bool operator==(const agent_settings&, const agent_settings&) = default;
};

/** Creates the engine client once the process has its event loop and connections. */
using engine_port_factory =
    std::function<std::unique_ptr<adapters::engine_port>(edge::buffered_calls&)>;

/**
 * Runs the agent process beside an engine until SIGTERM or SIGINT. Returns the exit code. Ends the
 * deferral of edge::defer_stop_signals(). Call from the main thread only. Throws
 * boost::system::system_error when the peer address can't be bound.
 */
int run_agent(const agent_settings& settings, const engine_port_factory& make_engine);

} // namespace camphorgrade::engine_agent
