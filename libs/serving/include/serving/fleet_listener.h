#pragma once

#include <serving/backend_server.h>
#include <serving/evacuation_state.h>
#include <serving/service_catalogue.h>
#include <serving/store_position.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** Receives the catalogue, adapter versions and registrations that the store holds. */
class fleet_listener {
public:
    fleet_listener() = default;
    fleet_listener(const fleet_listener&) = delete;
    fleet_listener& operator=(const fleet_listener&) = delete;
    virtual ~fleet_listener() = default;

    /** A catalogue, possibly one that is already known; `text` is its stored form. */
    virtual void on_catalogue(service_catalogue catalogue, const std::string& text) = 0;
    /** The version of an adapter's weights that requests must run on. */
    virtual void on_adapter_version(const std::string& weights, std::uint64_t version) = 0;
    /** The data centres that are evacuated; all others are in service. */
    virtual void on_evacuations(const evacuation_state& state) = 0;
    /** All current registrations; a server that is not among them is no longer registered. */
    virtual void on_registrations(const std::vector<backend_server>& servers) = 0;
    /** A registration was added or changed. */
    virtual void on_registration(const backend_server& server) = 0;
    /** The registration of server `id` was deleted or has expired. */
    virtual void on_deregistration(const std::string& id) = 0;
    /** The registrations received so far are the store's state at this position. */
    virtual void on_registrations_position(const store_position& position) = 0;
    /** The store has come back from an older copy, in a newer era. All records are reported anew,
        first as in the copy, and once more when their writers have had time to write again. */
    virtual void on_store_restored(std::uint64_t era) = 0;
    /** Contact with the store was lost or regained, or still holds. */
    virtual void on_contact(bool reachable) = 0;
    /** A record is invalid and was skipped; `reason` states why. */
    virtual void on_bad_record(const std::string& key, const std::string& reason) = 0;
};

/** Parses the stored form of a catalogue that a peer relayed. Thread safe. */
class catalogue_reader {
public:
    catalogue_reader() = default;
    catalogue_reader(const catalogue_reader&) = delete;
    catalogue_reader& operator=(const catalogue_reader&) = delete;
    virtual ~catalogue_reader() = default;

    /** The catalogue in `text`; nullopt if it is invalid. */
    virtual std::optional<service_catalogue> read(const std::string& text) const = 0;
};

} // namespace camphorgrade::serving
