#pragma once

#include <kernel/ids.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

/**
 * @file
 * HTTP messages as services handle them: requests from callers and the responses to them, calls to
 * backend servers and their responses. All are value types.
 */
namespace camphorgrade {

/** One header field. The case of its name is insignificant; see find_header(). */
struct http_header {
    std::string name;
    std::string value;

    friend bool operator==(const http_header&, const http_header&) = default;
};

using http_headers = std::vector<http_header>;

/** A complete request. `path` begins with '/', is percent-decoded and has no query. */
struct http_request {
    std::string method;
    std::string path;
    std::string query;
    http_headers headers;
    std::string body;

    friend bool operator==(const http_request&, const http_request&) = default;
};

/** Value of the first header called `name`, ignoring case; none if absent. Thread safe. */
std::optional<std::string> find_header(const http_headers& headers, const std::string& name);

/** Number of headers called `name`, ignoring case. Thread safe. */
std::size_t count_headers(const http_headers& headers, const std::string& name);

/** Status line and headers of a response. */
struct http_head {
    int status = 0;
    http_headers headers;

    friend bool operator==(const http_head&, const http_head&) = default;
};

/** A part of the body of a response. */
struct http_chunk {
    std::string bytes;

    friend bool operator==(const http_chunk&, const http_chunk&) = default;
};

/** The end of a complete response. */
struct http_end {
    friend bool operator==(const http_end&, const http_end&) = default;
};

/** Whether the request of a failed call may have been executed. */
enum class call_failure_kind {
    not_sent, /**< No connection was established: the backend server can't have received the
                 request. */
    broken    /**< At least a part of the request was sent; the response is incomplete. */
};

/** A call ended without a complete response. */
struct call_failure {
    call_failure_kind kind = call_failure_kind::broken;

    friend bool operator==(const call_failure&, const call_failure&) = default;
};

/**
 * One part of a response. A call yields a head, any number of chunks, then an end; or a failure at
 * any point.
 */
using call_progress = std::variant<http_head, http_chunk, http_end, call_failure>;

} // namespace camphorgrade
