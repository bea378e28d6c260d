#pragma once

#include <edge/upstream_pool.h>
#include <kernel/clock.h>
#include <serving/backend_server.h>
#include <serving/dispatcher.h>
#include <serving/fleet_listener.h>
#include <serving/request_codec.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace camphorgrade::entry {

/** Settings of the process on an entry VM. A value type. */
struct entry_settings {
    std::string node_name;
    std::string data_centre;
    serving::network_address caller_address;   /**< Where callers connect. */
    serving::network_address operator_address; /**< Readiness and metrics. */
    serving::network_address metrics_address;  /**< Metrics alone; port 0: nowhere else. */
    serving::network_address peer_address;     /**< Messages of the system's own processes. */
    std::vector<std::string> seeds;            /**< Peer addresses, "ip:port", that may be stale. */
    std::uint32_t capacity_millicores = 0;     /**< Of this VM: share of a core, in thousandths. */
    duration shutdown_grace{8'000};            /**< From SIGTERM until the process must be gone. */
    std::uint64_t incarnation = 1;             /**< Larger for each later process on this VM. */
    serving::dispatcher_settings dispatch;

    friend bool operator==(const entry_settings&, const entry_settings&) = default;
};

/** Follows what the store holds of the fleet. */
class fleet_source {
public:
    fleet_source() = default;
    fleet_source(const fleet_source&) = delete;
    fleet_source& operator=(const fleet_source&) = delete;
    virtual ~fleet_source() = default;

    virtual void start() = 0;
    /** Asks the store no more until it is resumed. */
    virtual void pause() = 0;
    /** Reads everything anew and follows on. */
    virtual void resume() = 0;
};

/** Makes the source when the process has its loop and connections. */
using fleet_source_factory = std::function<std::unique_ptr<fleet_source>(
    boost::asio::io_context&, edge::upstream_pool&, serving::fleet_listener&)>;

/**
 * Runs the process on an entry VM until SIGTERM and the end of its graceful shutdown.
 * Returns the exit code. Call from the main thread only.
 */
int run_entry(const entry_settings& settings, const serving::request_codec& codec,
              const serving::catalogue_reader& reader, const fleet_source_factory& make_source);

} // namespace camphorgrade::entry
