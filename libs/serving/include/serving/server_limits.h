#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>

#include <map>
#include <optional>

namespace camphorgrade::serving {

/** The request limit of a server process changed. A value type. */
struct limit_change {
    server_process server;
    std::optional<double> before; /**< Requests per second; empty: no limit. */
    std::optional<double> after;  /**< Requests per second; empty: no limit. */

    friend bool operator==(const limit_change&, const limit_change&) = default;
};

/** The request limit that is in force for a server process. A value type. */
struct request_limit {
    double requests_per_s = 0;
    time_point confirmed_at; /**< Arrival of the latest response that named it. */

    friend bool operator==(const request_limit&, const request_limit&) = default;
};

/**
 * The request limits that backend servers name in their responses. A limit binds all gateways
 * together. It belongs to one process of a server and is in force until a response of that process
 * names another one or none.
 *
 * Responses on different connections may overtake each other. A lower limit applies at once. A
 * higher one, or the end of the limit, applies only if its response is certainly newer than the
 * latest one that confirmed the limit, which means that its request was sent after that response
 * had arrived. Deterministic. Not thread safe.
 */
class server_limits {
public:
    /** A response arrived that names `limit` in requests per second, or no limit. `sent` is when
        its request was sent. Returns the change of the limit in force, if any.
        Precondition: a limit is finite and not negative. */
    std::optional<limit_change> on_response(const server_process& server,
                                            std::optional<double> limit, time_point sent,
                                            time_point now);

    /** The limit in force; empty if the server names none. */
    std::optional<request_limit> find(const server_process& server) const;

    /** All limits in force. */
    const std::map<server_process, request_limit>& all() const noexcept { return limits_; }

    /** Forgets the limit of a server process that has ended. */
    void erase(const server_process& server) { limits_.erase(server); }

private:
    std::map<server_process, request_limit> limits_;
};

} // namespace camphorgrade::serving
