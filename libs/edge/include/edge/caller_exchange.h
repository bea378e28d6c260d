#pragma once

#include <kernel/clock.h>
#include <kernel/http_types.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade::edge {

/** A complete request of a caller. `target` is the path and query exactly as they were sent. */
struct caller_request {
    std::string method;
    std::string target;
    http_headers headers;
    std::string body; /**< Decoded from chunks where it came in chunks. */
    time_point received;

    friend bool operator==(const caller_request&, const caller_request&) = default;
};

/**
 * One request of a caller and the answer to it.
 *
 * Either answer() is called once, or begin() followed by write() and then finish() or abort().
 * After on_disconnect ran, or after finish() or abort(), further calls have no effect.
 * Not thread safe: belongs to the thread of its event loop.
 */
class caller_exchange {
public:
    caller_exchange() = default;
    caller_exchange(const caller_exchange&) = delete;
    caller_exchange& operator=(const caller_exchange&) = delete;
    virtual ~caller_exchange() = default;

    /** The request; valid as long as the exchange. */
    virtual const caller_request& request() const = 0;

    /** Called once if the caller closes its connection before the answer is complete. */
    virtual void on_disconnect(std::function<void()> callback) = 0;

    /** Sends a complete answer. */
    virtual void answer(const http_head& head, std::string_view body) = 0;

    /** Sends the head of an answer whose body follows; in chunks where `length` is unknown. */
    virtual void begin(const http_head& head, std::optional<std::uint64_t> length) = 0;

    /** Sends a part of the body. Precondition: begin() was called. */
    virtual void write(std::string_view bytes) = 0;

    /** The body is complete; one shorter than its length is aborted instead. */
    virtual void finish() = 0;

    /** Closes the connection, so that what was sent can't be taken for a whole answer. */
    virtual void abort() = 0;
};

} // namespace camphorgrade::edge
