#pragma once

#include <edge/buffer_budget.h>
#include <kernel/clock.h>
#include <kernel/http_types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace camphorgrade::edge {

/**
 * Endpoint of a server and the process instance expected there, since another process may reuse the
 * endpoint later.
 */
struct upstream_address {
    boost::asio::ip::tcp::endpoint endpoint;
    std::string instance; /**< Part of the key of idle connections; empty if any process will do. */

    friend bool operator==(const upstream_address&, const upstream_address&) = default;
    friend bool operator<(const upstream_address& a, const upstream_address& b) {
        return a.endpoint != b.endpoint ? a.endpoint < b.endpoint : a.instance < b.instance;
    }
};

/** Why a call ended without a complete response. */
enum class upstream_failure : std::uint8_t {
    not_connected, /**< No connection was established, so nothing was sent. */
    // For those below, the request may have been sent, and the response is incomplete.
    closed,    /**< The server closed the connection. */
    reset,     /**< The connection was reset, or failed in another way. */
    timed_out, /**< The response wasn't complete in time. */
    malformed  /**< What the server sent isn't a valid response, or exceeds a limit. */
};

/** The request of one call. */
struct upstream_request {
    std::string method;
    std::string target;
    http_headers headers; /**< Without Content-Length, which the pool sets from `body`. */
    std::string body;
    /**
     * Name of the response header that identifies the request. A response in which this header
     * differs from `correlation_id` belongs to another request and is skipped. A response without
     * this header is accepted only on a connection that has carried no other request; on a reused
     * one it fails the call, since it may repeat an earlier response. Empty to accept any response.
     * With or without it, a response of neither length nor chunks fails on a reused connection.
     */
    std::string correlation_header;
    /**
     * A request whose id its connection has carried before is sent on another connection. If this
     * is empty although `correlation_header` isn't, the request gets a connection of its own, on
     * which any response is accepted.
     */
    std::string correlation_id;
};

/** How the body of a response is delimited. */
struct upstream_framing {
    bool has_length = false;  /**< Whether the response has a Content-Length. */
    std::uint64_t length = 0; /**< In bytes; 0 if `has_length` is false. */
    /** Whether the body ends when the server closes the connection, so that a body that is cut
        there can't be told from a complete one. */
    bool ends_with_connection = false;
    /** Whether the connection has carried earlier requests, to which the server may respond again.
     */
    bool is_reused_connection = false;

    friend bool operator==(const upstream_framing&, const upstream_framing&) = default;
};

/** Receives the response of one call. Not called after the handle of the call is destroyed. */
class upstream_sink {
public:
    upstream_sink() = default;
    upstream_sink(const upstream_sink&) = delete;
    upstream_sink& operator=(const upstream_sink&) = delete;
    virtual ~upstream_sink() = default;

    /** The head of the response arrived. Called once at most. */
    virtual void on_head(const http_head& head, const upstream_framing& framing) = 0;
    /** A part of the body arrived; `bytes` are valid during this call only. */
    virtual void on_body(std::string_view bytes) = 0;
    /** The response is complete. No other function is called afterwards. */
    virtual void on_end() = 0;
    /** The call failed. No other function is called afterwards. */
    virtual void on_failure(upstream_failure failure) = 0;
};

/**
 * Handle of a call. Destroying it while the call is open closes the connection, so that the server
 * can cancel the work for this request.
 */
class upstream_call {
public:
    upstream_call() = default;
    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;
    virtual ~upstream_call() = default;

    /**
     * Fails the call with `upstream_failure::timed_out` if its response isn't complete after
     * `timeout`. Has no effect on a call that has ended.
     */
    virtual void set_timeout(duration timeout) = 0;
};

/** Timeouts and limits of the connections of a pool. */
struct upstream_settings {
    /** Limit for establishing a connection; above three round trips between data centres. */
    duration connect_timeout{400};
    /**
     * Reuse of an idle connection ends this long before the idle timeout that the server has
     * announced, so that a request doesn't arrive while the server closes the connection.
     */
    duration idle_margin{400};
    /** How long an idle connection is reused if the server announces no timeout in Keep-Alive. */
    duration default_idle_timeout{1'000};
    std::size_t max_header_bytes = std::size_t{32} * 1024;
    /** Maximum number of idle connections kept for one address. */
    std::size_t max_idle_per_address = 64;
    /** Maximum number of idle connections kept for all addresses together. */
    std::size_t max_idle = 4'096;
    /** Maximum number of buffered bytes of a head, or of the lines between the chunks of a body. */
    std::size_t max_unparsed_bytes = std::size_t{64} * 1024;
    /** Interim responses and responses to other requests that one call skips before it fails. */
    std::uint32_t max_skipped_responses = 16;
    /** Total size of the bodies that one call skips before it fails. */
    std::size_t max_skipped_bytes = std::size_t{256} * 1024;
    /** How long each call to a server has a connection of its own after a response of the server
        had neither a length nor chunks. */
    duration own_connection_period{600'000};
    /** Maximum number of servers for which `own_connection_period` is remembered. */
    std::size_t max_unframed_servers = 1'024;

    friend bool operator==(const upstream_settings&, const upstream_settings&) = default;
};

/**
 * Makes HTTP calls to other processes over persistent HTTP/1.1 connections.
 *
 * A response is complete when the body has its declared length or its last chunk was read. A body
 * with neither is complete when the server closes the connection cleanly, if the connection has
 * carried no other request and no other response follows in it: otherwise nothing tells which bytes
 * belong to the call, and it fails as malformed after its head. A connection is reused only after a
 * complete response that no further bytes follow. Unresponsive peers are detected by
 * TCP keep-alive probes. The pool limits what a server may send that isn't part of the response;
 * the sink limits the size of the response itself. Not thread safe.
 *
 * @code
 * upstream_pool pool(loop, clock, {});
 * std::unique_ptr<upstream_call> call = pool.start(address, request, sink);
 * @endcode
 */
class upstream_pool {
public:
    /** `budget` counts what the receivers of responses buffer; it may be null, and must outlive
        them otherwise. */
    upstream_pool(boost::asio::io_context& loop, const clock& clock, upstream_settings settings,
                  buffer_budget* budget = nullptr);
    ~upstream_pool();

    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /** Sends `request`. `sink` must outlive the call or its handle, whichever ends first. */
    std::unique_ptr<upstream_call> start(const upstream_address& to,
                                         const upstream_request& request, upstream_sink& sink);

    /** The budget for those that buffer responses; null if there is none. */
    buffer_budget* budget() const noexcept { return budget_; }

    /** Closes the idle connections to `address`; open calls go on. */
    void close_idle(const upstream_address& address);

private:
    class state;
    class connection;
    class handle;
    std::shared_ptr<state> state_; // shared with the pending operations of the connections
    buffer_budget* budget_;
};

} // namespace camphorgrade::edge
