#pragma once

#include <kernel/http_types.h>

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <string>
#include <string_view>

/**
 * @file
 * Checks of what a caller sent. All are pure and thread safe; failures carry a request_fault.
 */
namespace camphorgrade {

/** Bounds on the headers of one request. */
struct header_limits {
    std::size_t max_count = 48;
    std::size_t max_bytes = std::size_t{16} * 1024;

    friend bool operator==(const header_limits&, const header_limits&) = default;
};

/**
 * Percent-decodes a request's path.
 *
 * Fails with request_fault::bad_path on bad escapes, control characters, encoded slashes,
 * backslashes, a path that does not begin with '/', and "." or ".." as a segment.
 */
boost::leaf::result<std::string> decode_path(std::string_view raw);

/** Percent-encodes what may not stand in a path as it is; the inverse of decode_path(). */
std::string encode_path(std::string_view path);

/** True when `name` may be a header's name and `value` its value: no line break gets through. */
bool is_valid_header(const http_header& header);

/**
 * Checks count, size and characters of headers, and that Host occurs once.
 *
 * Fails with request_fault::headers_too_large or request_fault::malformed.
 */
boost::leaf::result<void> check_headers(const http_headers& headers, const header_limits& limits);

/**
 * Number of body bytes that the headers announce; zero for none on a method without a body.
 *
 * Fails with length_required (also for Transfer-Encoding, which is not taken), malformed (two
 * lengths, or not a number) or body_too_large.
 */
boost::leaf::result<std::size_t>
announced_body_size(const std::string& method, const http_headers& headers, std::size_t max_bytes);

} // namespace camphorgrade
