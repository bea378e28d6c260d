#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>
#include <serving/limit_source.h>
#include <serving/service_catalogue.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/**
 * Server processes that are cold, and the request rate that each of them sustains until it is warm.
 *
 * A registration states how long its process stays cold. The time counts from the arrival of the
 * registration, so a delayed one lengthens the period and never shortens it. A registration that
 * repeats the last statement doesn't begin a new period. Deterministic. Not thread safe.
 */
class cold_servers final : public limit_source {
public:
    /** Sets the cold rates of the services; servers of other services are never limited here. */
    void set_catalogue(const service_catalogue& catalogue);

    /** Applies a registration. Returns whether the process becomes cold with it. */
    bool on_registration(const backend_server& server, time_point now);

    /** Ends the periods that are over; returns the processes that are warm since. */
    std::vector<server_process> update(time_point now);

    /** Forgets the servers, named by id, that `is_known` doesn't know. */
    void erase_unknown(const std::function<bool(const std::string&)>& is_known);

    /** Whether servers of the service have a cold rate. */
    bool has_cold_rate(const std::string& service) const { return rates_.count(service) != 0; }

    std::optional<request_limit> find(const server_process& server) const override;
    bool is_empty() const override { return size() == 0; }

    /** Number of cold processes. */
    std::size_t size() const;

private:
    /** What the latest registration of a server states. */
    struct statement {
        std::uint64_t started_at_ms = 0;
        duration cold_left{};

        friend bool operator==(const statement&, const statement&) = default;
    };
    struct cold_period {
        std::string service;
        time_point begins; /**< When the registration that states it arrived. */
        time_point ends;
    };

    std::map<std::string, double> rates_;         /**< Requests per second, by service. */
    std::map<std::string, statement> statements_; /**< By server id. */
    std::map<server_process, cold_period> cold_;  /**< Only processes that are cold. */
};

/** The lower of two limits, where both sources have one. The sources must outlive it. */
class effective_limits final : public limit_source {
public:
    effective_limits(const limit_source& first, const limit_source& second)
        : first_(first), second_(second) {}

    std::optional<request_limit> find(const server_process& server) const override;
    bool is_empty() const override { return first_.is_empty() && second_.is_empty(); }

private:
    const limit_source& first_;
    const limit_source& second_;
};

} // namespace camphorgrade::serving
