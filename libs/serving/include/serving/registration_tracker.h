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
    /** When a call has failed and no response has arrived for this long, a registration may have
        lapsed only because its server could not renew it. */
    duration outage_threshold{1'200};
    /** Time in which live servers register again after an outage. */
    duration reregistration_time{2'200};
    /** For this long after the store's return from an older copy, registrations in it may be of
        processes that have been removed since the copy was made. */
    duration restoration_time{5'000};
    /** How long a removed process is remembered. A peer that was disconnected for longer does
        not know of a process that was removed here. */
    duration removed_retention{600'000};

    friend bool operator==(const registration_tracker_settings&,
                           const registration_tracker_settings&) = default;
};

/**
 * Decides which registrations of backend servers are valid. A registration that disappears while
 * the store responds is removed at once. One that disappears around an outage of the store stays
 * valid until its server has had time to register again. A removed process becomes valid again only
 * when it is registered; a peer that still waits for it does not restore it, nor does an older copy
 * of the store. Deterministic. Not
 * thread safe.
 */
class registration_tracker {
public:
    explicit registration_tracker(registration_tracker_settings settings);

    /** The store responded, or a call to it failed. */
    void on_contact(bool reachable, time_point now);

    /** The store has come back from an older copy: registrations that it lacks may have been made
        since the copy, and those that it has may have ended. */
    void on_store_restored(time_point now);

    /** All registrations as read from the store; returns the ids that are removed now. */
    std::vector<std::string> on_full_list(const std::vector<backend_server>& servers,
                                          time_point now);

    /** Registrations as known to a peer whose own list may be incomplete after an outage. A
        server that is missing from the list is removed once it has been missing for the time in
        which servers register again. */
    void on_peer_list(const std::vector<backend_server>& servers, time_point now);

    /** Registrations as known to a peer whose list is settled (see is_settled()); returns the ids
        that are removed now. */
    std::vector<std::string> on_settled_peer_list(const std::vector<backend_server>& servers,
                                                  time_point now);

    /** A peer still waits for this server to register again after an outage. Returns whether the
        server is valid here, too. It is not if this process of the server or a later one was
        removed here, or if the process is unknown here and a settled peer's list has been
        received. */
    bool on_awaited_by_peer(const backend_server& server, time_point now);

    /** Servers that are not registered and stay valid until their time to register again has
        passed. */
    std::vector<std::string> awaited() const;

    /** Whether all live servers have had time to register since the store became reachable. */
    bool is_settled(time_point now) const;

    /** The server is registered. Returns whether it is therefore valid. It isn't if its process was
        removed and the store has just come back from a copy, which may be older than the removal.
     */
    bool on_registration(const backend_server& server, time_point now);

    /** Whether neither this process of the server nor a later one has been removed. */
    bool is_valid(const backend_server& server) const;

    /** The registration of a server has disappeared. Returns whether the server is removed now;
        otherwise expire() may remove it later. */
    bool on_deregistration(const std::string& id, time_point now);

    /** Removes servers whose time to register again has passed; returns their ids. */
    std::vector<std::string> expire(time_point now);

private:
    /** A removed process of a server. */
    struct removed_process {
        std::uint64_t started_at_ms = 0;
        time_point removed_at;
    };

    /** Records these servers as registered; returns the known ids that are not among them. */
    std::vector<std::string> record_registered(const std::vector<backend_server>& servers,
                                               time_point now);
    /** Remembers the process as removed and forgets those whose retention has passed. */
    void mark_removed(const std::string& id, time_point now);
    bool is_store_out(time_point now) const;
    /** Whether a registration may be missing only because of an outage of the store. */
    bool may_have_lapsed(time_point now) const;
    /** When servers will have had time to register again after the last outage. */
    time_point reregistration_deadline(time_point now) const;

    registration_tracker_settings settings_;
    /** Start time of the process, Unix milliseconds, by id. */
    std::map<std::string, std::uint64_t> known_;
    /** Deadline for registering again, by id. */
    std::map<std::string, time_point> awaited_;
    std::map<std::string, removed_process> removed_;
    bool has_settled_list_ = false; /**< A settled peer has sent its list of all registrations. */
    bool has_failed_ = false;       /**< A call has failed since the last response. */
    std::optional<time_point> first_response_;
    std::optional<time_point> last_response_;
    std::optional<time_point> outage_end_;  /**< End of the last outage. */
    std::optional<time_point> restored_at_; /**< Return of the store from an older copy. */
};

} // namespace camphorgrade::serving
