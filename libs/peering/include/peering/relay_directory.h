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

/** Times and sizes of a relay_directory. */
struct relay_directory_settings {
    std::size_t relays_per_data_centre = 2; /**< In each data centre. */
    std::size_t max_direct_gateways = 16;  /**< Gateways; up to so many tell each other directly. */
    duration peer_liveness_timeout{1'500}; /**< A gateway not heard for so long doesn't relay. */
    duration peer_expiry{10'000};          /**< A gateway not heard for so long is forgotten. */
    duration relay_timeout{400};      /**< A relay in use that isn't heard directly for so long is
                                           passed over, ... */
    duration relay_cooldown{1'000};   /**< ... for so long. */
    duration bootstrap_interval{500}; /**< Between two introductions of one gateway, ... */
    std::size_t max_bootstrap_peers = 16; /**< ... each to so many beside its relays. */

    friend bool operator==(const relay_directory_settings&,
                           const relay_directory_settings&) = default;
};

/**
 * Knows the gateways of a fleet and which of them hand on reports for each data centre.
 *
 * Relays are those of most capacity; a hash breaks ties. Each gateway chooses by its own view, and
 * any gateway hands on what it is asked to, so views that differ cost duplicates and lose
 * nothing. While no chosen relay of the own data centre is heard, reports go to all peers
 * directly. Deterministic. Not thread safe.
 */
class relay_directory {
public:
    /** `own` is this gateway's address. */
    relay_directory(std::string own, peer_attributes identity, relay_directory_settings settings);

    /** A gateway was heard, directly or through a relay. */
    void on_gateway_seen(const std::string& address, const peer_attributes& identity,
                         bool is_direct, time_point now);

    /** Drops gateways that weren't heard for long. */
    void remove_expired(time_point now);

    /** Whether reports go to all peers, without relays. */
    bool sends_directly(time_point now);

    /** Relays of a data centre to send to; empty when no gateway lives there. One that is silent
        although it was sent to is replaced. May name this gateway, for its own data centre. */
    std::vector<std::string> select_relays(const std::string& data_centre, time_point now);

    /** Relays of the other data centres to hand on to: the first relays of two data centres speak
        with each other, and so do the second ones. A gateway that is no relay speaks with all. */
    std::vector<std::string> select_remote_relays(time_point now);

    /** Whether this gateway hands on reports of what stands in a data centre: one of its own, or
        one where no gateway lives. */
    bool is_relay_for(const std::string& data_centre, time_point now) const;

    /** Gateways to name to one that tells this one directly, because it knows few or hears no
       relay: the relays of its data centre and some others, all in turn. Empty when it was told
       just now. */
    std::vector<std::string> bootstrap_peers(const std::string& newcomer, time_point now);

    /** Live gateways of the own data centre, without this one. */
    std::vector<std::string> local_peers(time_point now) const;

    /** All gateways that aren't forgotten, without this one. */
    std::vector<std::string> peers(time_point now) const;

private:
    struct gateway {
        peer_attributes identity;
        std::uint64_t rank = 0; /**< Among those of equal capacity; the least relays first. */
        time_point heard;
        time_point heard_directly;
        time_point used_since; /**< Since when it is sent to as a relay. */
        time_point used_last;
        time_point passed_over_until;
        time_point introduced;
    };
    using candidate = std::map<std::string, gateway>::value_type;

    /** Other data centres where gateways live. */
    std::set<std::string> other_centres(time_point now) const;
    bool is_live(const gateway& which, time_point now) const;
    /** The best `relays_per_data_centre` of the live gateways that `is_wanted` takes, in order. */
    template <typename Predicate>
    std::vector<std::string> best(Predicate is_wanted, time_point now) const;
    std::vector<std::string> choose(const std::string& data_centre, time_point now) const;
    /** The relay of this rank of another data centre; a silent one is replaced. */
    std::optional<std::string> use_partner(const std::string& data_centre, std::size_t rank,
                                           time_point now);
    /** Notes that a relay is sent to; passes it over and returns false when it has been silent for
        too long. */
    bool note_use(gateway& which, time_point now) const;

    std::string own_;
    relay_directory_settings settings_;
    round_robin_selector introduced_;
    std::map<std::string, gateway> gateways_; // this one, too
};

} // namespace camphorgrade::peering
