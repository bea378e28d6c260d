#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** Times of a registration_tracker. */
struct registration_tracker_settings {
    duration outage_threshold{
        1'200}; /**< With failed calls and no answer for so long, registrations may have
           lapsed only because their servers could not renew them. */
    duration reregistration_time{
        2'200}; /**< Live servers register again within this after an outage. */
    duration removed_retention{600'000}; /**< A peer that was cut off for longer knows no process
                                        that is gone here. */

    friend bool operator==(const registration_tracker_settings&,
                           const registration_tracker_settings&) = default;
};

/**
 * Decides which registrations of backend servers count. One that vanishes while the store answers
 * is gone at once. One that vanished around an outage of the store counts until its server has had
 * the time to register again. A process that is gone counts again only once it is registered; that
 * a peer still waits for it doesn't bring it back. Deterministic. Not thread safe.
 */
class registration_tracker {
public:
    explicit registration_tracker(registration_tracker_settings settings);

    /** The store answered, or failed to. */
    void on_contact(bool reachable, time_point now);

    /** All registrations as read; returns the ids that are gone now. */
    std::vector<std::string> on_full_list(const std::vector<backend_server>& servers,
                                          time_point now);

    /** Registrations as a peer knows them, whose own list may be incomplete after an outage: what
        it lacks is gone once it has lacked it for the time that servers take to register again. */
    void on_peer_list(const std::vector<backend_server>& servers, time_point now);

    /** Registrations as a peer knows them whose own book is settled; returns the ids that are gone
        now. */
    std::vector<std::string> on_settled_peer_list(const std::vector<backend_server>& servers,
                                                  time_point now);

    /** A peer still waits for this server to register again after an outage; returns whether it
        counts here, too: not if this process of it is known to be gone, or wasn't known although
        the list of a settled peer was. */
    bool on_awaited_by_peer(const backend_server& server, time_point now);

    /** Servers that aren't registered and count until their time to register again has passed. */
    std::vector<std::string> awaited() const;

    /** Whether all live servers had time to register since the store could be reached. */
    bool is_settled(time_point now) const;

    void on_registration(const backend_server& server);

    /** Returns whether the server is gone now. */
    bool on_deregistration(const std::string& id, time_point now);

    /** Ids whose time to register again has passed. */
    std::vector<std::string> expire(time_point now);

private:
    /** A process of a server that is gone. */
    struct gone_process {
        std::uint64_t born = 0;
        time_point since;
    };

    /** Takes these for registered; returns the known ones that aren't among them. */
    std::vector<std::string> take_present(const std::vector<backend_server>& servers);
    void note_gone(const std::string& id, time_point now);
    bool is_out(time_point now) const;
    bool is_in_doubt(time_point now) const;
    time_point due(time_point now) const;

    registration_tracker_settings settings_;
    std::map<std::string, std::uint64_t> known_; // start of the process, by id
    std::map<std::string, time_point> missing_;
    std::map<std::string, gone_process> gone_;
    bool has_settled_list_ = false; /**< A settled peer told all registrations. */
    bool has_failed_ = false;       /**< A call failed since the last answer. */
    std::optional<time_point> first_answer_;
    std::optional<time_point> last_answer_;
    std::optional<time_point> returned_; /**< When the last outage ended. */
};

} // namespace camphorgrade::serving
