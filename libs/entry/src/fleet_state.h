#pragma once

#include "registration_poller.h"

#include <edge/caller_server.h>
#include <kernel/clock.h>
#include <serving/dispatcher.h>
#include <serving/fleet_listener.h>
#include <serving/registration_tracker.h>
#include <telemetry/event_log.h>

#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::entry {

/** Receives changes of the fleet from a fleet_state, which it must outlive. */
class fleet_state_listener {
public:
    fleet_state_listener() = default;
    fleet_state_listener(const fleet_state_listener&) = delete;
    fleet_state_listener& operator=(const fleet_state_listener&) = delete;
    virtual ~fleet_state_listener() = default;

    /** A newer catalogue sets these limits for the requests of callers. */
    virtual void on_caller_limits(const edge::caller_limits& limits) = 0;
    /** The catalogue or a registration changed, so that agents and peers need an update. */
    virtual void on_fleet_changed() = 0;
    /** This gateway begins or stops watching the store. */
    virtual void on_store_watch_changed(bool watches) = 0;
    /** The store has dropped its changes up to now, or lost some. */
    virtual void on_store_history_lost() = 0;
};

/**
 * The catalogue and the registered backend servers as one gateway knows them from the store or from
 * its peers. Passes each change to the dispatcher, logs it and tracks the age of the data. Not
 * thread safe.
 */
class fleet_state final : public serving::fleet_listener, public registration_poller_host {
public:
    fleet_state(const clock& clock, event_log& log, serving::dispatcher& dispatcher,
                const serving::catalogue_reader& reader, fleet_state_listener& listener);

    void on_catalogue(serving::service_catalogue catalogue, const std::string& text) override;
    void on_adapter_version(const std::string& weights, std::uint64_t version) override;
    /** Applies a state from the store or from a peer, whichever is newer. */
    void on_evacuations(const serving::evacuation_state& state) override;
    void on_registrations(const std::vector<serving::backend_server>& servers) override;
    void on_registration(const serving::backend_server& server) override;
    void on_deregistration(const std::string& id) override;
    void on_registrations_position(const serving::store_position& position) override;
    void on_store_restored(std::uint64_t era) override;
    void on_contact(bool reachable) override;
    void on_bad_record(const std::string& key, const std::string& reason) override;

    bool has_store_contact() const override;
    peering::registration_snapshot registrations() const override;
    void on_peer_registrations(const peering::registration_snapshot& snapshot,
                               const std::string& peer) override;
    void on_store_watch_changed(bool watches) override;

    /** Applies a catalogue in its stored form that a peer sent; logs one that is unreadable. */
    void on_peer_catalogue(const std::string& text);

    /** Version of the newest catalogue; 0 when none is known. */
    std::uint64_t catalogue_version() const;

    /** Stored form of the newest catalogue; empty when none is known. */
    const std::string& catalogue_text() const noexcept { return catalogue_text_; }

    /** Time since the store's last response to this process; -1 ms if there was none. */
    duration store_age() const;

    /** Age of the fleet's state, from the store or from peers; -1 ms if none is known. */
    duration data_age() const;

    /** Whether the catalogue and the registrations are known, as serving callers requires. */
    bool is_complete() const;

    /** Whether the registrations known here follow the store's changes, and the store responds. */
    bool follows_store() const { return is_following_ && has_store_contact(); }

    /** State of the store to which the registrations known here belong. */
    const serving::store_position& registrations_position() const noexcept { return position_; }

    /** How often the store has come back from an older copy. */
    std::uint64_t store_restorations() const noexcept { return store_restorations_; }

    /** Removes the servers that did not register again in time after an outage of the store. */
    void expire();

private:
    /** Applies a registration that is valid. */
    void apply_registration(const serving::backend_server& server);
    void log_learned(const peering::registration_snapshot& snapshot, const std::string& peer);
    /** The snapshot without servers that can't be called, each of which is logged. */
    peering::registration_snapshot without_unusable(peering::registration_snapshot snapshot);
    void apply_peer_registration(const serving::backend_server& server);
    void log_evacuation(const char* event, const std::string& data_centre);
    void remove_server(const std::string& id, const char* reason);
    /** The registrations known now are the store's as of `time`. `is_continuous`: no change since
        the last such time is missing. */
    void on_registrations_as_of(time_point time, bool is_continuous);

    const clock& clock_;
    event_log& log_;
    serving::dispatcher& dispatcher_;
    const serving::catalogue_reader& reader_;
    fleet_state_listener& listener_;
    serving::registration_tracker registrations_;
    std::string catalogue_text_;
    serving::store_position position_; /**< Of the registrations. */
    std::uint64_t store_restorations_ = 0;
    time_point last_store_response_;
    time_point data_as_of_; /**< When the store held the state that is known now. */
    /** Empty until there are registrations. */
    std::optional<serving::registration_period> registrations_known_;
    bool is_following_ = false; /**< The registrations follow the store's changes. */
    bool has_store_response_ = false;
    bool is_store_reachable_ = false;
    bool has_registrations_ = false;
};

} // namespace camphorgrade::entry
