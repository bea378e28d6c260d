#pragma once

#include <kernel/clock.h>
#include <serving/backend_server.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** Times of a registration_book. */
struct registration_book_settings {
    duration outage{1'200}; /**< With failed calls and no answer for so long, registrations may have
                                 lapsed only because their servers could not renew them. */
    duration return_time{2'200}; /**< Live servers register again within this after an outage. */

    friend bool operator==(const registration_book_settings&,
                           const registration_book_settings&) = default;
};

/**
 * Decides which registrations of backend servers count. One that vanishes while the store answers
 * is gone at once. One that vanished around an outage of the store counts until its server has had
 * the time to register again. Deterministic. Not thread safe.
 */
class registration_book {
public:
    explicit registration_book(registration_book_settings settings);

    /** The store answered, or failed to. */
    void on_contact(bool reachable, time_point now);

    /** All registrations as read; returns the ids that are gone now. */
    std::vector<std::string> on_all(const std::vector<backend_server>& servers, time_point now);

    /** Registrations as a peer knows them, whose own list may be incomplete after an outage: what
        it lacks is gone once it has lacked it for the time that servers take to register again. */
    void on_relayed(const std::vector<backend_server>& servers, time_point now);

    /** Registrations as a peer knows them whose own book is settled; returns the ids that are gone
        now. */
    std::vector<std::string> on_settled_peer(const std::vector<backend_server>& servers);

    /** Whether all live servers had time to register since the store could be reached. */
    bool is_settled(time_point now) const;

    void on_registration(const std::string& id);

    /** Returns whether the server is gone now. */
    bool on_deregistration(const std::string& id, time_point now);

    /** Ids whose time to register again has passed. */
    std::vector<std::string> expire(time_point now);

private:
    /** Takes these for registered; returns the known ones that aren't among them. */
    std::vector<std::string> take_present(const std::vector<backend_server>& servers);
    bool is_out(time_point now) const;
    bool is_in_doubt(time_point now) const;
    time_point due(time_point now) const;

    registration_book_settings settings_;
    std::set<std::string> known_;
    std::map<std::string, time_point> missing_;
    bool has_failed_ = false; /**< A call failed since the last answer. */
    std::optional<time_point> first_answer_;
    std::optional<time_point> last_answer_;
    std::optional<time_point> returned_; /**< When the last outage ended. */
};

} // namespace camphorgrade::serving
