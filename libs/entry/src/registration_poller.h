#pragma once

#include <edge/buffered_calls.h>
#include <kernel/clock.h>
#include <peering/registrations.h>
#include <serving/store_contacts.h>
#include <serving/watch_policy.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::entry {

/** Interface of a registration_poller to its gateway. Must outlive the poller. */
class registration_poller_host {
public:
    registration_poller_host() = default;
    registration_poller_host(const registration_poller_host&) = delete;
    registration_poller_host& operator=(const registration_poller_host&) = delete;
    virtual ~registration_poller_host() = default;

    /** Whether the store responded to this process recently and registrations are known. */
    virtual bool has_store_contact() const = 0;
    /** The registered servers as this process knows them. */
    virtual peering::registration_snapshot registrations() const = 0;
    /** Receives the registrations that `peer` knows from the store. */
    virtual void on_peer_registrations(const peering::registration_snapshot& snapshot,
                                       const std::string& peer) = 0;
    /** This gateway begins or stops watching the store. */
    virtual void on_store_watch_changed(bool watches) = 0;
};

/** Times of a registration_poller. */
struct registration_poller_settings {
    /** Time between two requests. Draining servers must be known well before they stop. */
    duration poll_interval{500};
    /** Timeout of one request; an unresponsive peer must not delay the next request. */
    duration call_timeout{600};
    serving::watch_policy_settings watch_policy;

    friend bool operator==(const registration_poller_settings&,
                           const registration_poller_settings&) = default;
};

/**
 * Requests the registered servers from peers at regular intervals: from the peers that watch the
 * store for this data centre or, while this process can't reach the store, from any peer that can.
 * Decides whether this gateway watches the store itself. Not thread safe.
 */
class registration_poller {
public:
    /** Returns the peers that watch the store for this gateway; if there are none, this gateway
        watches the store itself. Called at each poll. */
    using watching_peers_provider = std::function<std::vector<std::string>()>;
    /** Receives the version of the newest catalogue that a peer knows. */
    using catalogue_version_callback =
        std::function<void(const std::string& peer, std::uint64_t version)>;

    registration_poller(boost::asio::io_context& loop, const clock& clock,
                        edge::upstream_pool& pool, registration_poller_host& host,
                        std::uint16_t port, watching_peers_provider watching_peers,
                        catalogue_version_callback on_catalogue_version,
                        registration_poller_settings settings);

    /** Starts to poll at regular intervals. Call once. */
    void start();

    /** Records that the store last responded to a peer `store_age` ago; negative means never. */
    void on_peer_store_age(const std::string& address, duration store_age);

    /**
     * Body of the response to a peer that requests the registrations; empty while
     * has_store_contact() is false.
     */
    std::string registrations_body() const;

    /** Path at which gateways request the registrations of each other. */
    static constexpr const char* registrations_path = "/registrations";

private:
    void schedule();
    void poll();
    void request_registrations(const std::string& peer);
    void handle_response(const std::string& peer, const std::string& body);

    const clock& clock_;
    edge::buffered_calls calls_;
    registration_poller_host& host_;
    std::uint16_t port_;
    watching_peers_provider watching_peers_provider_;
    catalogue_version_callback on_catalogue_version_;
    registration_poller_settings settings_;
    serving::store_contacts store_contacts_;
    serving::watch_policy watch_policy_;
    boost::asio::steady_timer timer_;
    bool is_watching_ = true;
    std::size_t next_peer_ = 0; /**< Selects the next of the watching peers, in turn. */
};

} // namespace camphorgrade::entry
