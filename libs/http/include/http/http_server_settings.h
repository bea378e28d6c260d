#pragma once

#include <http/request_checks.h>
#include <kernel/clock.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace camphorgrade {

/** What an http_server listens on, and its limits. */
struct http_server_settings {
    std::string address = "127.0.0.1"; /**< IP number to bind. */
    std::uint16_t port = 0;            /**< 0 picks a free port; see http_server::bound_port(). */

    /** Connections served at once, a thread each; those beyond are refused with too_busy. */
    std::size_t max_connections = 64;

    header_limits headers;
    std::size_t max_uri_bytes = 4096;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;

    /** Bound on the arrival of a whole request, and on a write that makes no progress. */
    duration request_timeout{10'000};

    /** How long a connection may stay open between two requests. */
    duration keep_alive_timeout{15'000};

    /** Bytes that may wait for a slow reader before it is cut off. */
    std::size_t max_pending_bytes = std::size_t{256} * 1024;

    /** PEM file with certificate chain and private key; empty serves plain HTTP. */
    std::string certificate_path;

    friend bool operator==(const http_server_settings&, const http_server_settings&) = default;
};

} // namespace camphorgrade
