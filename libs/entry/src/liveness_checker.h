#pragma once

#include <edge/buffered_calls.h>
#include <edge/upstream_pool.h>
#include <serving/backend_server.h>
#include <serving/request_codec.h>
#include <serving/service_catalogue.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

namespace camphorgrade::entry {

/** What a check found out about a server process. */
enum class process_state : std::uint8_t {
    alive,  /**< The process answered. */
    ended,  /**< Nothing listens at its address, or another process does. */
    unknown /**< There was no answer in time, or there is no way to ask. */
};

/** Name of a process_state in logs and metrics. */
std::string_view to_string(process_state state) noexcept;

/** Handle of a check that is under way. Destroying it drops the result. */
class liveness_check {
public:
    using completion_handler = std::function<void(process_state)>;

    explicit liveness_check(completion_handler done) : done_(std::move(done)) {}

private:
    friend class liveness_checker;

    completion_handler done_;
};

/**
 * Finds out whether a server process is alive, by a request on a connection of its own.
 *
 * A process that crashes closes its connections like one that ends them on purpose; one that
 * answers afterwards hasn't crashed. Not thread safe.
 */
class liveness_checker {
public:
    /** `pool` and `codec` must outlive this object. */
    liveness_checker(boost::asio::io_context& loop, edge::upstream_pool& pool,
                     const serving::request_codec& codec);

    /**
     * Asks the process at `address`. `service` is its service, null if it is unknown. `done` runs
     * once from the event loop, never from within this function, while the handle exists.
     */
    std::shared_ptr<liveness_check> start(const edge::upstream_address& address,
                                          const serving::server_process& process,
                                          const serving::service* service,
                                          liveness_check::completion_handler done);

private:
    boost::asio::io_context& loop_;
    const serving::request_codec& codec_;
    edge::buffered_calls calls_;
};

} // namespace camphorgrade::entry
