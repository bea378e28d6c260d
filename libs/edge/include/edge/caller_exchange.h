#pragma once

#include <kernel/clock.h>
#include <kernel/http_types.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade::edge {

/** A complete request from a caller. `target` is the path and query exactly as they were sent. */
struct caller_request {
    std::string method;
    std::string target;
    http_headers headers;
    std::string body;    /**< With the chunked transfer coding removed. */
    time_point received; /**< When the last byte of the request was read. */

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

/**
 * One request from a caller and the response to it.
 *
 * Call either answer() once, or begin(), then write() any number of times, then finish() or
 * abort(). After the response is complete or aborted, or the caller has disconnected, further calls
 * have no effect. Not thread safe: use it on the thread of its event loop only.
 */
class caller_exchange {
public:
    caller_exchange() = default;
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;
    virtual ~caller_exchange() = default;

    /** The request; valid for the lifetime of the exchange. */
    virtual const caller_request& request() const = 0;

    /**
     * Sets the callback that runs once if the caller closes its connection, or reads too slowly,
     * before the response is complete.
     */
    virtual void on_disconnect(std::function<void()> callback) = 0;

    /** Sends a complete response. */
    virtual void answer(const http_head& head, std::string_view body) = 0;

    /**
     * Sends the head of a response whose body follows. Without `length` the body is chunked, or
     * ends with the connection if the caller uses HTTP/1.0.
     */
    virtual void begin(const http_head& head, std::optional<std::uint64_t> length) = 0;

    /**
     * Sends a part of the body; aborts if the body exceeds its declared length.
     * Precondition: begin() was called.
     */
    virtual void write(std::string_view bytes) = 0;

    /** Completes the response; aborts it if the body is shorter than its declared length. */
    virtual void finish() = 0;

    /** Closes the connection, so that the caller detects an incomplete response. */
    virtual void abort() = 0;
};

} // namespace camphorgrade::edge
