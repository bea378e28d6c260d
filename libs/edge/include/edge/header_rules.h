#pragma once

#include <kernel/http_types.h>

#include <string>
#include <string_view>

/** @file HTTP/1.1 header rules for intermediaries. All functions are pure and thread safe. */
namespace camphorgrade::edge {

/** Whether two header names are equal, ignoring case. */
bool same_header_name(std::string_view a, std::string_view b) noexcept;

/**
 * The headers that an intermediary forwards: all but the hop-by-hop headers (Connection and the
 * headers that it names, Keep-Alive, TE, Trailer, Transfer-Encoding, Upgrade,
 * Proxy-Authenticate, Proxy-Authorization, Proxy-Connection), and Content-Length, which is set
 * again where the body is framed.
 */
http_headers end_to_end_headers(const http_headers& headers);

/** Whether the value of a list header, such as Connection, contains `token`, ignoring case. */
bool lists_token(std::string_view value, std::string_view token) noexcept;

/** The reason phrase of an HTTP status; "<unknown-status>" for an unknown status. */
std::string_view reason_phrase(int status) noexcept;

} // namespace camphorgrade::edge
