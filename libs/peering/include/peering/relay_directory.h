#pragma once

#include <kernel/clock.h>
#include <peering/peer_messages.h>
#include <peering/round_robin_selector.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::peering {

/** Timeouts and limits of a relay_directory. */
struct relay_directory_settings {
    std::size_t relays_per_data_centre = 2; /**< Number of relays of each data centre. */
    /** A fleet of up to this many live gateways uses no relays. */
    std::size_t max_direct_gateways = 16;
    /** A gateway that is silent for this duration is not live, so it is not selected as a relay. */
    duration peer_liveness_timeout{1'500};
    /** A gateway that is silent for this duration is removed. */
    duration peer_expiry{10'000};
    /** A relay in use that sends nothing directly for this duration is excluded from selection. */
    duration relay_timeout{400};
    duration relay_cooldown{1'000}; /**< How long a silent relay stays excluded. */
    /** Minimum time between two lists of bootstrap_peers() for the same gateway. */
    duration bootstrap_interval{500};
    /** Maximum number of other gateways in such a list, besides the receiver's relays. */
    std::size_t max_bootstrap_peers = 16;

    friend bool operator==(const relay_directory_settings&,
                           const relay_directory_settings&) = default;
};

/**
 * Tracks the gateways of the fleet and selects the relays that forward reports for each data
 * centre.
 *
 * The relays of a data centre are its gateways of the highest capacity; a hash breaks ties. Each
 * gateway selects them from its own view of the fleet. Any gateway forwards a report on request, so
 * differing views cause duplicates but no loss. While no selected relay of the own data centre is
 * reachable, reports go directly to all peers. Deterministic. Not thread safe.
 */
class relay_directory {
public:
    /** `own` is the address of this gateway. */
    relay_directory(std::string own, peer_attributes attributes, relay_directory_settings settings);

    /** Records that a message of a gateway arrived, directly or through a relay. */
    void on_gateway_seen(const std::string& address, const peer_attributes& attributes,
                         bool is_direct, time_point now);

    /** Removes gateways that have been silent for `peer_expiry`. */
    void remove_expired(time_point now);

    /** Whether reports go directly to all peers instead of through relays. */
    bool sends_directly(time_point now);

    /**
     * Selects the relays of a data centre that the next report is sent to, and records their use. A
     * relay that stays silent while in use is replaced. Empty if the data centre has no live
     * gateway. May include this gateway for its own data centre.
     */
    std::vector<std::string> select_relays(const std::string& data_centre, time_point now);

    /**
     * Selects the relays of the other data centres to forward to. The relays of two data centres
     * are paired by rank: the first with the first, the second with the second. A gateway that is
     * not a relay itself forwards to all relays of each other data centre.
     */
    std::vector<std::string> select_remote_relays(time_point now);

    /**
     * Whether this gateway is a relay of a data centre and thus forwards the reports of the agents
     * there. A data centre without live gateways is served by the preferred gateways of the whole
     * fleet.
     */
    bool is_relay_for(const std::string& data_centre, time_point now) const;

    /**
     * Returns addresses for a gateway that sends its reports directly to this one, because it knows
     * few gateways or receives nothing from a relay: the relays of its data centre and some other
     * gateways in round-robin order. Empty if `newcomer` is unknown or received such a list within
     * the minimum interval.
     */
    std::vector<std::string> bootstrap_peers(const std::string& newcomer, time_point now);

    /** Live gateways of the own data centre, without this one. */
    std::vector<std::string> local_peers(time_point now) const;

    /** Live gateways that grant permits, in the order of their addresses, including this one. */
    std::vector<std::string> live_granters(time_point now) const;

    /** All gateways that have not expired, without this one. */
    std::vector<std::string> peers(time_point now) const;

private:
    struct gateway {
        peer_attributes attributes;
        /** Order among gateways of equal capacity; the lowest comes first. */
        std::uint64_t rank = 0;
        time_point last_seen;
        time_point last_seen_directly;
        time_point in_use_since; /**< Start of the current uninterrupted use as a relay. */
        time_point last_used;
        time_point excluded_until;
        time_point last_bootstrap;
    };
    using candidate = std::map<std::string, gateway>::value_type;

    /** Other data centres that have live gateways. */
    std::set<std::string> other_data_centres(time_point now) const;
    bool is_live(const gateway& known, time_point now) const;
    /**
     * The first relays_per_data_centre live gateways that satisfy `is_wanted`, in order of
     * preference.
     */
    template <typename Predicate>
    std::vector<std::string> select_best(Predicate is_wanted, time_point now) const;
    /** The preferred relays of a data centre. Excluded ones are included only if all are excluded.
     */
    std::vector<std::string> choose_relays(const std::string& data_centre, time_point now) const;
    /**
     * Selects one relay of another data centre: the one at position `rank`, modulo the number of
     * its relays. A silent relay is replaced.
     */
    std::optional<std::string> select_remote_relay(const std::string& data_centre, std::size_t rank,
                                                   time_point now);
    /**
     * Records the use of a relay. If it has been silent for too long, excludes it for a while and
     * returns false.
     */
    bool record_use(gateway& known, time_point now) const;

    std::string own_address_;
    relay_directory_settings settings_;
    round_robin_selector bootstrap_selector_;
    std::map<std::string, gateway> gateways_; // includes this gateway
};

} // namespace camphorgrade::peering
