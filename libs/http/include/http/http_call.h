#pragma once

#include <kernel/clock.h>
#include <kernel/http_types.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorgrade {

/** Where a call goes. `host` is an IP number; names are not resolved. */
struct http_endpoint {
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    bool uses_tls = false;

    friend bool operator==(const http_endpoint&, const http_endpoint&) = default;
    friend auto operator<=>(const http_endpoint&, const http_endpoint&) = default;
};

/** Bounds of one call. */
struct call_limits {
    duration connect_timeout{2'000};
    duration total_timeout{60'000}; /**< From the start of the call, waiting included. */
    std::size_t max_header_bytes = std::size_t{64} * 1024;
    std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;

    friend bool operator==(const call_limits&, const call_limits&) = default;
};

/** Takes what comes back from one blocking call, on the calling thread. */
class call_sink {
public:
    virtual ~call_sink() = default;

    /** The next piece; the last is an http_end or a call_failure, and comes exactly once. */
    virtual void on_progress(call_progress progress) = 0;
};

} // namespace camphorgrade
