#pragma once

#include <kernel/clock.h>

#include <map>
#include <optional>
#include <string>

namespace camphorgrade::serving {

/** Settings of store_contacts. */
struct store_contacts_settings {
    /** The store counts as unreachable once its last response is this old. Longer than a watch of
        registrations waits for a response and pauses after it. */
    duration contact_timeout{2'500};

    /** Whether a response of this age means that the store is reachable; a negative age means
        that none was received. */
    bool is_in_contact(duration store_age) const {
        return store_age >= duration::zero() && store_age < contact_timeout;
    }

    friend bool operator==(const store_contacts_settings&,
                           const store_contacts_settings&) = default;
};

/**
 * Tracks which peers are in contact with the store, for a process that is not. Deterministic. Not
 * thread safe.
 */
class store_contacts {
public:
    explicit store_contacts(store_contacts_settings settings) : settings_(settings) {}

    /** A peer received its last response from the store `store_age` ago; a negative age means
        never. */
    void on_peer(const std::string& peer, duration store_age, time_point now);

    /** The peer with the most recent response from the store; nullopt when none is in contact
        with it. */
    std::optional<std::string> freshest_peer(time_point now) const;

private:
    store_contacts_settings settings_;
    /** Time of the last response from the store, by peer. */
    std::map<std::string, time_point> last_responses_;
};

} // namespace camphorgrade::serving
