#pragma once

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

/** Where a call goes, and which process is expected there: addresses are used again by others. */
struct upstream_address {
    boost::asio::ip::tcp::endpoint endpoint;
    std::string instance; /**< Connections are kept apart by it; empty where it doesn't matter. */

    friend bool operator==(const upstream_address&, const upstream_address&) = default;
    friend bool operator<(const upstream_address& a, const upstream_address& b) {
        return a.endpoint != b.endpoint ? a.endpoint < b.endpoint : a.instance < b.instance;
    }
};

/** Why a call ended without a whole answer. */
enum class upstream_failure : std::uint8_t {
    not_connected, /**< No connection was made, so nothing was sent. */
    broken         /**< Something may have been sent; the answer isn't whole. */
};

/** What is sent in one call. */
struct upstream_request {
    std::string method;
    std::string target;
    http_headers headers; /**< Without Content-Length, which the pool sets from `body`. */
    std::string body;
    std::string correlation_header; /**< An answer whose value of it differs from
                                         `correlation_id` belongs to another request. */
    std::string correlation_id;     /**< Empty: any answer is taken. */
};

/** How the body of an answer is delimited. */
struct upstream_framing {
    bool has_length = false;
    std::uint64_t length = 0;

    friend bool operator==(const upstream_framing&, const upstream_framing&) = default;
};

/** Takes what comes back from one call. Not called after the call's handle is destroyed. */
class upstream_sink {
public:
    upstream_sink() = default;
    upstream_sink(const upstream_sink&) = delete;
    upstream_sink& operator=(const upstream_sink&) = delete;
    virtual ~upstream_sink() = default;

    virtual void on_head(const http_head& head, const upstream_framing& framing) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    /** The answer is whole. The last call. */
    virtual void on_end() = 0;
    /** The last call. */
    virtual void on_failure(upstream_failure why) = 0;
};

/** A call under way; its destruction closes the connection, which cancels the work behind it. */
class upstream_call {
public:
    upstream_call() = default;
    upstream_call(const upstream_call&) = delete;
    upstream_call& operator=(const upstream_call&) = delete;
    virtual ~upstream_call() = default;

    /** Breaks the call if its answer isn't whole after `time`; does nothing once it has ended. */
    virtual void set_timeout(duration time) = 0;
};

/** Times and bounds of a pool's connections. */
struct upstream_settings {
    duration connect_timeout{400};        /**< Above three round trips between data centres. */
    duration idle_margin{400};            /**< A kept connection isn't used this shortly before the
                                               server closes it, so that a request can't cross the end. */
    duration default_idle_timeout{1'000}; /**< For servers that don't say how long they keep one. */
    std::size_t max_header_bytes = std::size_t{32} * 1024;
    std::size_t max_idle_per_address = 64; /**< Kept connections to one address. */
    std::size_t max_unparsed_bytes = std::size_t{64} * 1024; /**< Of a head, or of the lines
                                                                  between the chunks of a body. */
    std::uint32_t max_skipped_responses =
        16; /**< Interim answers and those of other requests, ... */
    std::size_t max_skipped_bytes =
        std::size_t{256} * 1024; /**< ... and bytes of their bodies, in one call. */

    friend bool operator==(const upstream_settings&, const upstream_settings&) = default;
};

/**
 * Calls to other processes over kept HTTP/1.1 connections.
 *
 * An answer is whole only if its length, its last chunk, or an orderly end of a body without
 * length says so. A connection is used again only after a whole answer with nothing behind it.
 * Dead peers are found by keep-alive probes. What a server may send that is no answer to the call
 * is bounded; the size of the answer itself is for the sink to bound. Not thread safe.
 *
 * @code
 * upstream_pool pool(loop, clock, {});
 * std::unique_ptr<upstream_call> call = pool.start(address, request, sink);
 * @endcode
 */
class upstream_pool {
public:
    upstream_pool(boost::asio::io_context& loop, const clock& clock, upstream_settings settings);
    ~upstream_pool();

    upstream_pool(const upstream_pool&) = delete;
    upstream_pool& operator=(const upstream_pool&) = delete;

    /** Sends `request`. `sink` must live until its last call or the handle's destruction. */
    std::unique_ptr<upstream_call> start(const upstream_address& to,
                                         const upstream_request& request, upstream_sink& sink);

    /** Closes the kept connections to an instance. */
    void close_idle(const upstream_address& address);

private:
    class state;
    class connection;
    class handle;
    std::shared_ptr<state> state_; // shared with the connections' pending operations
};

} // namespace camphorgrade::edge
