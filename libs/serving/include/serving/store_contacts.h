#pragma once

#include <kernel/clock.h>

#include <map>
#include <optional>
#include <string>

namespace camphorgrade::serving {

/** Times of store_contacts. */
struct store_contacts_settings {
    duration contact_timeout{2'500}; /**< Longer than a watch of registrations waits and pauses: who
                                   has heard nothing from the store for so long has lost it. */

    /** Whether an answer of that age means that the store is in reach; negative: none came. */
    bool is_in_contact(duration store_age) const {
        return store_age >= duration::zero() && store_age < contact_timeout;
    }

    friend bool operator==(const store_contacts_settings&,
                           const store_contacts_settings&) = default;
};

/**
 * Knows which peers are in touch with the store, for a process that isn't. Deterministic.
 * Not thread safe.
 */
class store_contacts {
public:
    explicit store_contacts(store_contacts_settings settings) : settings_(settings) {}

    /** A peer heard from the store `store_age` ago; a negative age: never. */
    void on_peer(const std::string& peer, duration store_age, time_point now);

    /** The peer whose knowledge of the store is the newest; nullopt when none is in touch. */
    std::optional<std::string> freshest_peer(time_point now) const;

private:
    store_contacts_settings settings_;
    std::map<std::string, time_point> answered_; // when each peer last heard from the store
};

} // namespace camphorgrade::serving
