#pragma once

#include <kernel/http_types.h>

namespace camphorgrade {

/** Why an HTTP request was refused before any handler saw it. */
enum class request_fault {
    malformed,         /**< Not HTTP, or a header that is not allowed to occur so. */
    bad_path,          /**< Bad percent-encoding, control character, or path traversal. */
    length_required,   /**< A body without Content-Length. */
    body_too_large,    /**< Body above the limit. */
    uri_too_long,      /**< Path and query above the limit. */
    headers_too_large, /**< Too many header lines, or too many bytes in them. */
    timed_out,         /**< The request did not arrive whole in time. */
    too_busy,          /**< All connections allowed are in use. */
    unsupported        /**< A streamed answer to a caller that speaks HTTP/1.0. */
};

/** HTTP status that goes with `fault`. Thread safe. */
int http_status(request_fault fault) noexcept;

/** A complete response: head and body. */
struct http_response {
    http_head head;
    std::string body;

    friend bool operator==(const http_response&, const http_response&) = default;
};

/** Turns a fault into the response that callers of this port expect. */
class fault_formatter {
public:
    virtual ~fault_formatter() = default;

    /** Response for `fault`, with http_status(fault). Called on any thread; must not throw. */
    virtual http_response format(request_fault fault) const = 0;
};

} // namespace camphorgrade
