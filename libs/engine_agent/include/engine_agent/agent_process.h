#pragma once

#include <adapters/engine_port.h>
#include <edge/buffered_calls.h>
#include <serving/backend_server.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace camphorgrade::engine_agent {

/** Settings of the process beside an engine. A value type. */
struct agent_settings {
    std::string node_name;
    serving::network_address peer_address;    /**< Messages of the system's own processes. */
    serving::network_address metrics_address; /**< Port 0: not served. */
    std::uint64_t incarnation = 1;            /**< Larger for each later process on this VM. */
    duration idle_poll_interval{100};  /**< Between looks at an engine where nothing is wanted. */
    duration active_poll_interval{15}; /**< While an adapter is loading or waited for. */
    duration heartbeat_interval{400};  /**< Reports to gateways, at least. */
    duration report_delay{4};          /**< Changes within it are told together. */
    duration report_interval{120}; /**< Changes are told to gateways that don't wait for any, ... */
    duration relayed_report_interval{240};   /**< ... and to those that hand them on. */
    std::size_t max_gateways_per_report = 8; /**< Addresses of gateways in one report. */

    friend bool operator==(const agent_settings&, const agent_settings&) = default;
};

/** Makes the way to the engine when the process has its loop and connections. */
using engine_port_factory =
    std::function<std::unique_ptr<adapters::engine_port>(edge::buffered_calls&)>;

/**
 * Runs the process beside an engine until SIGTERM. Returns the exit code.
 * Call from the main thread only.
 */
int run_agent(const agent_settings& settings, const engine_port_factory& make_engine);

} // namespace camphorgrade::engine_agent
