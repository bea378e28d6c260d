#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>
#include <serving/limit_source.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace camphorgrade::serving {

/** The request limit of a server process changed. A value type. */
struct limit_change {
    server_process server;
    std::optional<double> before; /**< Requests per second; empty: no limit. */
    std::optional<double> after;  /**< Requests per second; empty: no limit. */

    friend bool operator==(const limit_change&, const limit_change&) = default;
};

/** What a gateway last observed in a response of a server: the limit that it names, or that it no
    longer names one. A value type. */
struct limit_report {
    server_process server;
    std::optional<double> requests_per_s; /**< Empty: the server names no limit any more. */
    duration age{};                       /**< Time since the response arrived. */

    friend bool operator==(const limit_report&, const limit_report&) = default;
};

/** Times of a server_limits. */
struct server_limits_settings {
    /** Longest time that a peer's report is on its way. */
    duration max_report_delay{500};
    /** For this duration, each report to peers repeats a changed observation. */
    duration change_repeat_duration{800};
    /** Complete reports leave out what a report of this or another gateway stated within this
        time. */
    duration min_repeat_interval{1'000};
    /** How long complete reports state that a limit has ended, and how long a limit that a peer
        reports for an unknown server is kept. */
    duration report_memory{5'000};

    friend bool operator==(const server_limits_settings&, const server_limits_settings&) = default;
};

/**
 * The request limits that backend servers name in their responses. A limit binds all gateways
 * together, so gateways report what they observe to each other. It belongs to one process of a
 * server and is in force until a response of that process names another one or none.
 *
 * Responses on different connections may overtake each other. A lower limit applies at once. A
 * higher one, or the end of the limit, applies only if its response is certainly newer than the
 * latest one that confirmed the limit: its request was sent after that response had arrived, or a
 * peer observed it at least the longest delay of a report later. Deterministic. Not thread safe.
 */
class server_limits final : public limit_source {
public:
    explicit server_limits(server_limits_settings settings = {}) : settings_(settings) {}

    /** A response arrived that names `limit` in requests per second, or no limit. `sent` is when
        its request was sent. Returns the change of the limit in force, if any.
        Precondition: a limit is finite and not negative. */
    std::optional<limit_change> on_response(const server_process& server,
                                            std::optional<double> limit, time_point sent,
                                            time_point now);

    /** Applies a peer's report. Returns the change of the limit in force, if any. A limit that is
        not finite or negative is ignored. */
    std::optional<limit_change> on_report(const limit_report& report, time_point now);

    /** The observations of this gateway that its next report to the peers states; a complete report
        repeats those that have not been stated lately. */
    std::vector<limit_report> next_reports(bool is_complete, time_point now);

    /** Whether an observation changed so recently that each report must state it. */
    bool has_recent_changes(time_point now) const;

    /** The limit in force; empty if the server names none. */
    std::optional<request_limit> find(const server_process& server) const override;

    bool is_empty() const override { return limits_.empty(); }

    /** All limits in force. */
    const std::map<server_process, request_limit>& all() const noexcept { return limits_; }

    /** Forgets the limits and observations of server processes that have ended. `is_current` states
        whether a process is registered, or empty if its server is unknown. */
    void erase_ended(const std::function<std::optional<bool>(const server_process&)>& is_current,
                     time_point now);

private:
    /** What this gateway has observed itself. */
    struct observation {
        std::optional<double> requests_per_s;
        time_point observed_at;
        time_point changed_at;
        time_point stated_at; /**< Latest report of any gateway that states the same. */
    };

    /** Applies a limit that a response names; `is_newer` states that the response is certainly
        newer than the latest one that confirmed the limit in force. */
    std::optional<limit_change> apply(const server_process& server, std::optional<double> limit,
                                      bool is_newer, time_point observed_at);
    bool is_recent_change(const observation& own, time_point now) const;
    void record_observation(const server_process& server, std::optional<double> limit,
                            time_point now);

    server_limits_settings settings_;
    std::map<server_process, request_limit> limits_;
    std::map<server_process, observation> observations_;
};

} // namespace camphorgrade::serving
