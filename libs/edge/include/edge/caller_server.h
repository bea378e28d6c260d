#pragma once

#include <edge/caller_exchange.h>
#include <kernel/clock.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>

namespace camphorgrade::edge {

/** What a caller may send, and how long it may take. */
struct caller_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
    duration header_timeout{3'000}; /**< From a request's first byte to the end of its headers. */
    duration idle_timeout{15'000};  /**< Without a request on a kept connection. */

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/** Takes the requests of callers. Must outlive its server. */
class caller_handler {
public:
    caller_handler() = default;
    caller_handler(const caller_handler&) = delete;
    caller_handler& operator=(const caller_handler&) = delete;
    virtual ~caller_handler() = default;

    /** A whole request arrived. */
    virtual void on_request(std::shared_ptr<caller_exchange> exchange) = 0;

    /** A request was refused before it was whole: its framing, size or pace was wrong. */
    virtual void on_bad_request(int status) = 0;
};

/**
 * An event-driven HTTP/1.1 server: one thread serves all connections.
 *
 * A request is handed on when its body is complete. Malformed or ambiguous framing, oversize
 * headers and bodies, and slow senders are refused (400, 431, 413, 408) and their connection is
 * closed. Connections are shared with the pending operations of the event loop.
 * Not thread safe: belongs to the thread that runs `loop`.
 *
 * @code
 * caller_server server(loop, clock, handler);
 * server.listen({boost::asio::ip::make_address("127.0.0.1"), 8080});
 * @endcode
 */
class caller_server {
public:
    caller_server(boost::asio::io_context& loop, const clock& clock, caller_handler& handler);
    ~caller_server();

    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /** Starts to accept. Throws boost::system::system_error when the address can't be had. */
    void listen(const boost::asio::ip::tcp::endpoint& address);

    /** Port that it listens on. Precondition: listen() was called. */
    std::uint16_t bound_port() const;

    /** In force for requests that begin from now on. */
    void set_limits(const caller_limits& limits);

    /** From now on each answer closes its connection; idle connections close at once. */
    void begin_drain();

    /** Accepts no more connections. */
    void stop_accepting();

    /** Requests that were handed on and are not answered yet. */
    std::size_t open_exchanges() const;

private:
    class state;
    class connection;
    std::shared_ptr<state> state_; // shared with the connections' pending operations
};

} // namespace camphorgrade::edge
