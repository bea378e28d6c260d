#pragma once

#include "registration_poller.h"

#include <edge/caller_server.h>
#include <kernel/clock.h>
#include <serving/dispatcher.h>
#include <serving/fleet_listener.h>
#include <serving/registration_tracker.h>
#include <telemetry/event_log.h>

#include <string>
#include <vector>

namespace camphorgrade::entry {

/** What hears of news of the fleet. Must outlive its fleet_state. */
class fleet_state_listener {
public:
    fleet_state_listener() = default;
    fleet_state_listener(const fleet_state_listener&) = delete;
    fleet_state_listener& operator=(const fleet_state_listener&) = delete;
    virtual ~fleet_state_listener() = default;

    /** A newer catalogue bounds what callers may send. */
    virtual void on_caller_limits(const edge::caller_limits& limits) = 0;
    /** Catalogue or servers changed, so that agents and peers have news to hear. */
    virtual void on_fleet_changed() = 0;
    /** From now on this gateway watches the store, or no longer. */
    virtual void on_store_watch_changed(bool watches) = 0;
};

/**
 * What one gateway knows of the fleet, from the store or from its peers: hands it on to the
 * dispatcher, logs each change of it, and knows how old it is. Not thread safe.
 */
class fleet_state final : public serving::fleet_listener, public registration_poller_host {
public:
    fleet_state(const clock& clock, event_log& log, serving::dispatcher& dispatcher,
                const serving::catalogue_reader& reader, fleet_state_listener& news);

    void on_catalogue(serving::service_catalogue catalogue, const std::string& text) override;
    void on_adapter_version(const std::string& weights, std::uint64_t version) override;
    void on_registrations(const std::vector<serving::backend_server>& servers) override;
    void on_registration(const serving::backend_server& server) override;
    void on_deregistration(const std::string& id) override;
    void on_registrations_revision(std::uint64_t revision) override;
    void on_contact(bool reachable) override;
    void on_bad_record(const std::string& key, const std::string& reason) override;

    bool has_store_contact() const override;
    peering::registration_snapshot registrations() const override;
    void on_peer_registrations(const peering::registration_snapshot& page,
                               const std::string& peer) override;
    void on_store_watch_changed(bool watches) override;

    /** A catalogue in its stored form, from a peer. */
    void on_peer_catalogue(const std::string& text);

    /** Version of the newest catalogue; 0 when none is known. */
    std::uint64_t catalogue_version() const;

    /** Stored form of the newest catalogue; empty when none is known. */
    const std::string& catalogue_text() const noexcept { return catalogue_text_; }

    /** Since the store answered this process last; -1 ms when it never has. */
    duration store_age() const;

    /** Age of what is known of the store, from itself or from peers; -1 ms when nothing is. */
    duration data_age() const;

    /** Whether enough is known to serve callers. */
    bool is_complete() const;

    /** Drops servers whose time to register again has passed. */
    void expire();

private:
    void apply(const serving::backend_server& server);
    void apply_from_peer(const serving::backend_server& server);
    void remove(const std::string& id, const char* reason);

    const clock& clock_;
    event_log& log_;
    serving::dispatcher& dispatcher_;
    const serving::catalogue_reader& reader_;
    fleet_state_listener& news_;
    serving::registration_tracker registrations_;
    std::string catalogue_text_;
    std::uint64_t registrations_revision_ = 0;
    time_point last_store_answer_;
    time_point last_known_; /**< When the store said what is known now. */
    bool has_store_answer_ = false;
    bool is_store_reachable_ = false;
    bool has_registrations_ = false;
};

} // namespace camphorgrade::entry
