#pragma once

#include <kernel/clock.h>
#include <serving/backend_registry.h>

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/**
 * @file
 * Which software versions of each service have served lately, and for which period that is known.
 */
namespace camphorgrade::serving {

/** A software version of a service, as one process tells another. A value type. */
struct software_record {
    std::string service;
    std::string version; /**< Empty if its servers state none. */
    duration age{};      /**< Time since a server of this version was last registered. */

    friend bool operator==(const software_record&, const software_record&) = default;
};

/** A period that ended in the past. A value type. */
struct known_period {
    duration from_age{};  /**< Time since its begin. */
    duration until_age{}; /**< Time since its end; not longer than `from_age`. */

    friend bool operator==(const known_period&, const known_period&) = default;
};

/** A period in which every registration that the store held is known. A value type. */
struct registration_period {
    time_point from;
    time_point until; /**< The registrations known now are the store's as of this time. */

    friend bool operator==(const registration_period&, const registration_period&) = default;
};

/** The software versions that one process knows. A value type. */
struct software_history {
    /** All versions that served in this period are among the records; empty: no such period. */
    std::optional<known_period> known;
    std::vector<software_record> records;

    friend bool operator==(const software_history&, const software_history&) = default;
};

/** Times of software_versions. */
struct software_versions_settings {
    /** A version is remembered for this long after its last server has gone. */
    duration memory{60'000};
    /** A process that observes nothing for longer than this was suspended. */
    duration max_observation_gap{2'000};
    /** For this long after a suspension, an answer of the store may be one of before. */
    duration wake_time{1'000};
    /** Longest time between two states of the registrations in which no version can have come and
        gone unseen. */
    duration max_registration_gap{4'000};
    /** Registrations of this age say what serves now. A gateway that polls another one's
        registrations knows those of this age at most while the store responds. */
    duration max_registration_age{3'000};
    /** Longest time that may lie between what another process knew and what is known here. It
        covers a restart of all gateways, between whose processes nobody serves. */
    duration max_learned_gap{10'000};
    /** The system ran before this process started, so other versions may have served. Otherwise
        none has, unless another process tells of it. */
    bool is_restart = false;

    friend bool operator==(const software_versions_settings&,
                           const software_versions_settings&) = default;
};

/**
 * The software versions of each service's backend servers, now and a while ago, and for which
 * period all of them are known. It ends when the store last confirmed the registrations, not now. A
 * process that has just started, or was suspended, knows nothing of the time before until another
 * process tells it. Deterministic. Not thread safe.
 */
class software_versions {
public:
    explicit software_versions(software_versions_settings settings) : settings_(settings) {}

    /** Notes the versions of the servers that are registered now. Every registration of the period
        `registrations` is known; empty: of none. */
    void observe(const backend_registry& backends,
                 const std::optional<registration_period>& registrations, time_point now);

    /** Notes the version of a server that has registered. */
    void add(const backend_server& server, time_point now) {
        add(server.service, server.software_version, now);
    }

    /** Adds what another process knows. */
    void learn(const software_history& history, time_point now);

    /** Adds what the store tells: all versions that served in the time `reach` before `read_at`,
        or later, are among `records`, whose ages are lower bounds. */
    void recover(const std::vector<software_record>& records, duration reach, time_point read_at);

    /** What this process knows, for other processes. */
    software_history history(time_point now) const;

    /** The period in which all versions are known; empty if there is none. */
    std::optional<known_period> known(time_point now) const;

    /** Begin of the period in which all versions are known; empty if there is none. */
    std::optional<time_point> known_from() const;

    /** Whether all versions that have served since `time` are known, up to a time that is recent
        enough to speak of `now`. */
    bool is_known_since(time_point time, time_point now) const;

    /** Whether all versions are known that have served since `time` and that anybody knows whom
       this process has heard. */
    bool is_known_since(time_point time) const { return known_ && known_->from <= time; }

    /** Whether this process has just been suspended: what it reads may be older than it says. */
    bool is_waking(time_point now) const { return now < wakes_at_; }

    /** Whether another process may know of versions that this one has to remember and doesn't. */
    bool needs_history(time_point now) const;

    /** Versions of `service` that were registered at `since` or later. */
    std::set<std::string> of_service(const std::string& service, time_point since) const;

    /** Services with more than one version, as of the last observe(). */
    std::set<std::string> mixed_services() const;

    /** Services with a version, as of the last observe(). */
    std::set<std::string> services() const;

    /** Increases with each version that becomes known and wasn't. */
    std::uint64_t changes() const noexcept { return changes_; }

private:
    struct period {
        time_point from;
        time_point until;
    };

    void add(const std::string& service, const std::string& version, time_point seen_at);
    /** Adds the records that are worth remembering; their ages are as of `as_of`. */
    void add(const std::vector<software_record>& records, time_point as_of);
    /** Extends the known period by `added` if at most `max_gap` lies between them; otherwise the
        later one remains. */
    void extend(const period& added, duration max_gap);
    void forget_old(time_point now);

    software_versions_settings settings_;
    void observe_period(const registration_period& registrations, time_point now);

    std::optional<time_point> last_observed_;
    bool has_observed_registrations_ = false;
    /** A state of the registrations counts as confirmed only after this time. */
    time_point wakes_at_;
    std::optional<period> known_;
    std::map<std::string, std::map<std::string, time_point>> seen_; /**< By service and version. */
    std::uint64_t changes_ = 0;
};

} // namespace camphorgrade::serving
