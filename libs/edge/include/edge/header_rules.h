#pragma once

#include <kernel/http_types.h>

#include <string>
#include <string_view>

/** @file Rules of HTTP/1.1 for intermediaries. All are pure and thread safe. */
namespace camphorgrade::edge {

/** Compares header names without case. */
bool same_header_name(std::string_view a, std::string_view b) noexcept;

/**
 * Headers without those that concern one connection only: Connection and what it names,
 * Keep-Alive, TE, Trailer, Transfer-Encoding, Upgrade, Proxy-*, and Content-Length, which whoever
 * frames the body sets anew.
 */
http_headers end_to_end_headers(const http_headers& headers);

/** Whether a list header such as Connection names `token`. */
bool lists_token(std::string_view value, std::string_view token) noexcept;

/** The reason phrase of a status; "Status" where the status is unknown. */
std::string_view reason_phrase(int status) noexcept;

} // namespace camphorgrade::edge
