#pragma once

#include <edge/upstream_pool.h>
#include <kernel/clock.h>
#include <serving/backend_server.h>
#include <serving/dispatcher.h>
#include <serving/fleet_listener.h>
#include <serving/record_store.h>
#include <serving/request_codec.h>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorgrade::entry {

/** Settings of the gateway process on an entry VM. A value type. */
struct entry_settings {
    std::string node_name;
    std::string data_centre;
    /** Listen address for the requests of callers. */
    serving::network_address caller_address;
    /** Listen address for readiness checks and metrics. */
    serving::network_address operator_address;
    /** Additional listen address for metrics only; port 0 disables it. */
    serving::network_address metrics_address;
    /** Listen address for the messages of agents and other gateways. */
    serving::network_address peer_address;
    /** Initial peer addresses, "ip:port"; some may be outdated. */
    std::vector<std::string> seeds;
    /** CPU share of this VM in thousandths of a core. */
    std::uint32_t capacity_millicores = 0;
    /** Memory that this process may take; 0: not known. */
    std::size_t memory_limit_bytes = 0;
    /** Descriptors that this process may open; 0: as many as the system allows. */
    std::size_t max_descriptors = 0;
    /** Time from SIGTERM until the process must have exited. */
    duration shutdown_grace{8'000};
    /** Writes per second that the store takes from all gateways together. */
    double store_writes_per_s = 400;
    /** Time for which the store keeps its changes. */
    duration store_history{20'000};
    /** Identifies this process on its VM; a later process has a larger one. */
    std::uint64_t incarnation = 1;
    serving::dispatcher_settings dispatch;

    friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

/** The store: reads the fleet's catalogue and registrations and watches them for changes, and keeps
    the system's own records. */
class fleet_source {
public:
    fleet_source() = default;
    fleet_source(const fleet_source&) = delete;
    fleet_source& operator=(const fleet_source&) = delete;
    virtual ~fleet_source() = default;

    /** Starts to read and watch. Called once. */
    virtual void start() = 0;
    /** Sends no requests to the store until resume() is called. */
    virtual void pause() = 0;
    /** Reads the whole state again and watches it for changes. */
    virtual void resume() = 0;
    /** Keeps the system's own records, also while the watch is paused. Lives as long as the
        source. */
    virtual serving::record_store& records() = 0;
};

/**
 * Creates the source when the event loop and the connection pool of the process exist. The
 * arguments outlive the source, which reports to the listener from the event loop.
 */
using fleet_source_factory = std::function<std::unique_ptr<fleet_source>(
    boost::asio::io_context&, edge::upstream_pool&, serving::fleet_listener&)>;

/**
 * Runs the gateway process on an entry VM. SIGTERM or SIGINT begins a graceful shutdown, after
 * which the function returns the exit code. Ends the deferral of edge::defer_stop_signals(). Call
 * from the main thread only. Throws boost::system::system_error when a listen address other than
 * entry_settings::metrics_address can't be bound.
 */
int run_entry(const entry_settings& settings, const serving::request_codec& codec,
              const serving::catalogue_reader& reader, const fleet_source_factory& make_source);

} // namespace camphorgrade::entry
