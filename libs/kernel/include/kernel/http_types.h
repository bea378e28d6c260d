#pragma once

#include <kernel/ids.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * @file
 * HTTP as decision code sees it: requests of callers, answers to them, calls to a backend server
 * and what comes back. All are value types.
 */
namespace camphorgrade {

/** One header line. Names compare without case; see find_header(). */
struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

using http_headers = std::vector<http_header>;

/** A complete request. `path` begins with '/', has no query, and is percent-decoded. */
struct http_request {
    std::string method;
    std::string path;
    std::string query;
    http_headers headers;
    std::string body;

    friend bool operator==(const http_request&, const http_request&) = default;
};

/** Value of the first header called `name` in any case. Thread safe. */
std::optional<std::string> find_header(const http_headers& headers, const std::string& name);

/** Number of headers called `name` in any case. Thread safe. */
std::size_t count_headers(const http_headers& headers, const std::string& name);

/** Status line and headers of a response. */
struct http_head {
    int status = 0;
    http_headers headers;

    friend bool operator==(const http_head&, const http_head&) = default;
};

/** Some bytes of a response's body. */
struct http_chunk {
    std::string bytes;

    friend bool operator==(const http_chunk&, const http_chunk&) = default;
};

/** The response is whole. */
struct http_end {
    friend bool operator==(const http_end&, const http_end&) = default;
};

/** How far a call had come when it failed. */
enum class call_failure_kind {
    not_sent, /**< No connection: the backend server provably never saw the request. */
    broken    /**< Sent at least in part, and not answered to the end. */
};

/** The call ended without a whole response. */
struct call_failure {
    call_failure_kind kind = call_failure_kind::broken;

    friend bool operator==(const call_failure&, const call_failure&) = default;
};

/** What comes back from a call, in order: a head, chunks, then an end; or a failure at any point.
 */
using call_progress = std::variant<http_head, http_chunk, http_end, call_failure>;

} // namespace camphorgrade
