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

/** What a registration_poller needs of its gateway. Must outlive it. */
class registration_poller_host {
public:
    registration_poller_host() = default;
    registration_poller_host(const registration_poller_host&) = delete;
    registration_poller_host& operator=(const registration_poller_host&) = delete;
    virtual ~registration_poller_host() = default;

    /** Whether this process is in touch with the store. */
    virtual bool has_store_contact() const = 0;
    /** Servers that are registered, as far as is known. */
    virtual peering::registration_snapshot registrations() const = 0;
    /** What `peer`, which is in touch with the store, knows. */
    virtual void on_peer_registrations(const peering::registration_snapshot& page,
                                       const std::string& peer) = 0;
    /** From now on this gateway watches the store, or no longer. */
    virtual void on_store_watch_changed(bool watches) = 0;
};

/** Times of a registration_poller. */
struct registration_poller_settings {
    duration poll_interval{500}; /**< Between two questions: leaving servers must be known of well
                                 before they are gone. */
    duration call_timeout{600};  /**< Of a question; a silent peer must not hold up the next. */
    serving::watch_policy_settings duty;

    friend bool operator==(const registration_poller_settings&,
                           const registration_poller_settings&) = default;
};

/**
 * Learns the registered servers from peers: from those that watch the store for this data centre,
 * or from any in touch with the store while it is out of reach of this process alone. Decides
 * whether this gateway watches the store itself. Not thread safe.
 */
class registration_poller {
public:
    /** Says which peers watch for this gateway, at each question anew; none: it watches itself. */
    using watching_peers_provider = std::function<std::vector<std::string>()>;
    /** Hears of the newest catalogue that a peer knows. */
    using catalogue_version_callback =
        std::function<void(const std::string& peer, std::uint64_t version)>;

    registration_poller(boost::asio::io_context& loop, const clock& clock,
                        edge::upstream_pool& pool, registration_poller_host& host,
                        std::uint16_t port, watching_peers_provider who_watches,
                        catalogue_version_callback on_catalogue,
                        registration_poller_settings settings);

    void start();

    /** A peer heard from the store `store_age` ago. */
    void on_peer_store_age(const std::string& address, duration store_age);

    /** What a peer that asks is told; empty when this process isn't in touch itself. */
    std::string registrations_body() const;

    /** Path of the question. */
    static constexpr const char* registrations_path = "/registrations";

private:
    void schedule();
    void review();
    void ask(const std::string& peer);
    void take(const std::string& peer, const std::string& page);

    const clock& clock_;
    edge::buffered_calls calls_;
    registration_poller_host& host_;
    std::uint16_t port_;
    watching_peers_provider who_watches_;
    catalogue_version_callback on_catalogue_;
    registration_poller_settings settings_;
    serving::store_contacts contacts_;
    serving::watch_policy duty_;
    boost::asio::steady_timer timer_;
    bool is_watching_ = true;
    std::size_t turn_ = 0; /**< Watchers are asked in turn. */
};

} // namespace camphorgrade::entry
