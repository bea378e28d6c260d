#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>

#include <optional>

namespace camphorgrade::serving {

/** The request limit that is in force for a server process. A value type. */
struct request_limit {
    double requests_per_s = 0;
    time_point confirmed_at; /**< Arrival of the latest response or registration that
                                  stated it. */

    friend bool operator==(const request_limit&, const request_limit&) = default;
};

/** Tells which server processes have a request limit that all gateways keep together. */
class limit_source {
public:
    limit_source() = default;
    limit_source(const limit_source&) = delete;
    limit_source& operator=(const limit_source&) = delete;
    virtual ~limit_source() = default;

    /** The limit in force; empty if the process has none. */
    virtual std::optional<request_limit> find(const server_process& server) const = 0;

    /** Whether no process has a limit. */
    virtual bool is_empty() const = 0;
};

} // namespace camphorgrade::serving
