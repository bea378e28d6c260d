#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/**
 * @file
 * Messages by which gateways share the request limit of a backend server. For each limited server
 * one gateway is the granter; the others, and the granter itself, request permits from it, one for
 * each request that they send to the server. Each message states totals, so a lost or duplicated
 * one is harmless.
 */
namespace camphorgrade::serving {

/** All permits that a gateway wants for one server now. */
struct permit_request {
    server_process server;
    double limit_per_s = 0; /**< The server's limit as known to the sender. */
    /** Identifies the sender's dealings with this granter; larger is later. */
    std::uint64_t session = 0;
    std::uint64_t received = 0; /**< Permits received in this session. */
    std::uint32_t wanted = 0;   /**< Permits for waiting requests, beyond those received. */
    /** Permits for requests that may come; granted while no request of any gateway waits. */
    std::uint32_t spare = 0;

    friend bool operator==(const permit_request&, const permit_request&) = default;
};

/** All permits that a granter has granted to the receiver for one server. */
struct permit_grant {
    server_process server;
    std::uint64_t session = 0;
    std::uint64_t granted = 0; /**< Permits granted in this session. */
    /** Estimated time until the next permit that the receiver wants is granted. */
    duration first_wait{};
    /** Estimated time until one more permit than all waiting requests want would be granted. */
    duration next_wait{};

    friend bool operator==(const permit_grant&, const permit_grant&) = default;
};

/** The requests of one gateway to one granter. */
struct permit_requests {
    std::vector<permit_request> requests;

    friend bool operator==(const permit_requests&, const permit_requests&) = default;
};

/** The grants of one granter to one gateway. */
struct permit_grants {
    std::vector<permit_grant> grants;

    friend bool operator==(const permit_grants&, const permit_grants&) = default;
};

/** A message with its receiver, a gateway's address "ip:port". */
struct permit_message {
    std::string to;
    std::variant<permit_requests, permit_grants> body;

    friend bool operator==(const permit_message&, const permit_message&) = default;
};

} // namespace camphorgrade::serving
