#pragma once

#include <edge/buffer_budget.h>
#include <edge/caller_exchange.h>
#include <kernel/clock.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace camphorgrade::edge {

/** Size and time limits for requests from callers. */
struct caller_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    duration header_timeout{3'000}; /**< Limit from the first byte of a request to the
                                          end of its headers. */
    duration idle_timeout{15'000};  /**< Limit between two requests of a connection, and
                                          for reading a whole body. */

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/** What a server that has reached its limit on connections does about one more. */
enum class connection_limit_action : std::uint8_t {
    idle_closed, /**< The connection that has been unused for longest is closed. */
    refused,     /**< All are in use: the first request of the new connection is refused. */
    closed       /**< Too many wait to be refused: the new connection is closed. */
};

/** Returns the name of an action as written to logs and metrics. */
std::string_view to_string(connection_limit_action action) noexcept;

/** Handles the requests that a server receives. Must outlive the server. */
class caller_handler {
public:
    caller_handler() = default;
    caller_handler(const caller_handler&) = delete;
    caller_handler& operator=(const caller_handler&) = delete;
    virtual ~caller_handler() = default;

    /** A complete request was received. */
    virtual void on_request(std::shared_ptr<caller_exchange> exchange) = 0;

    /** A request was rejected with `status` because of its framing, size or a timeout. */
    virtual void on_bad_request(int status) = 0;

    /** A connection could not be accepted, for example because the process has no descriptor left.
        Does nothing unless overridden. */
    virtual void on_accept_failed(const boost::system::error_code& error) {
        static_cast<void>(error);
    }

    /** A connection was accepted beyond the limit. Does nothing unless overridden. */
    virtual void on_connection_limit(connection_limit_action action) { static_cast<void>(action); }
};

/**
 * An event-driven HTTP/1.1 server for callers, its HTTP clients: one thread serves all connections.
 *
 * A request is passed to the handler when its body is complete. Malformed or ambiguous framing
 * (400), oversize headers (431), oversize bodies (413) and slow senders (408) are rejected and
 * their connection is closed. When the budget of the process is exceeded, the connections that hold
 * most are ended: one that still receives its request with a refusal (503), one whose response
 * isn't read at once. Open connections may outlive the server object, because pending operations of
 * the event loop share their ownership. Not thread safe: use it on the thread that runs `loop`
 * only.
 *
 * @code
 * caller_server server(loop, clock, handler);
 * server.listen({boost::asio::ip::make_address("127.0.0.1"), 8080});
 * @endcode
 */
class caller_server {
public:
    /** `budget` counts the requests and responses that connections hold; it may be null, and must
        outlive the event loop otherwise. */
    caller_server(boost::asio::io_context& loop, const clock& clock, caller_handler& handler,
                  buffer_budget* budget = nullptr);
    ~caller_server();

    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /**
     * Starts to accept connections. Throws boost::system::system_error if `address` can't be bound.
     */
    void listen(const boost::asio::ip::tcp::endpoint& address);

    /** The TCP port that the server listens on. Precondition: listen() was called. */
    std::uint16_t bound_port() const;

    /**
     * Sets how many connections may be open; there is no limit before the first call. Beyond it, a
     * new connection takes the place of the one that has been unused for longest: idle, or waiting
     * for its caller to close it. If all are in use, its request is refused (503), for which up to
     * an eighth of `max_connections` more may be open. Precondition: max_connections > 0.
     */
    void set_max_connections(std::size_t max_connections);

    /** Sets the limits for requests that begin after this call. */
    void set_limits(const caller_limits& limits);

    /**
     * Closes idle connections at once and every other connection after its current response. A
     * request that has arrived is still passed to the handler, on a connection that was idle too.
     */
    void begin_drain();

    /**
     * Accepts the connections that wait in the accept queue, then stops accepting; open connections
     * are still served.
     */
    void stop_accepting();

    /** Rejects (408) each request that has arrived in part only, and closes its connection. */
    void reject_incomplete_requests();

    /** False while the process can't accept connections, for example because it has no descriptor
        left. */
    bool can_accept() const;

    /** Number of open connections. */
    std::size_t connections() const;

    /**
     * Number of connections that have received a part of a request, whose response is not complete,
     * or that wait for the caller to close after the last response.
     */
    std::size_t busy_connections() const;

    /** Number of requests that were passed to the handler and have no complete response yet. */
    std::size_t open_exchanges() const;

private:
    class state;
    class connection;
    std::shared_ptr<state> state_; // shared with the pending operations of the connections
};

} // namespace camphorgrade::edge
