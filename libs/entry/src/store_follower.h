#pragma once

#include <edge/buffered_calls.h>
#include <kernel/clock.h>
#include <peering/registrations.h>
#include <serving/store_contacts.h>
#include <serving/watch_duty.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::entry {

/** What a store_follower needs of its gateway. Must outlive it. */
class follower_host {
public:
    follower_host() = default;
    follower_host(const follower_host&) = delete;
    follower_host& operator=(const follower_host&) = delete;
    virtual ~follower_host() = default;

    /** Whether this process is in touch with the store. */
    virtual bool is_in_touch() const = 0;
    /** Servers that are registered, as far as is known. */
    virtual peering::registration_page registrations() const = 0;
    /** What `peer`, which is in touch with the store, knows. */
    virtual void on_peer_page(const peering::registration_page& page, const std::string& peer) = 0;
    /** From now on this gateway watches the store, or no longer. */
    virtual void on_watch_duty(bool watches) = 0;
};

/** Times of a store_follower. */
struct store_follower_settings {
    duration interval{500};     /**< Between two questions: leaving servers must be known of well
                                     before they are gone. */
    duration call_timeout{600}; /**< Of a question; a silent peer must not hold up the next. */
    serving::watch_duty_settings duty;

    friend bool operator==(const store_follower_settings&,
                           const store_follower_settings&) = default;
};

/**
 * Learns the registered servers from peers: from those that watch the store for this data centre,
 * or from any in touch with the store while it is out of reach of this process alone. Decides
 * whether this gateway watches the store itself. Not thread safe.
 */
class store_follower {
public:
    /** Says which peers watch for this gateway, at each question anew; none: it watches itself. */
    using watchers = std::function<std::vector<std::string>()>;
    /** Hears of the newest catalogue that a peer knows. */
    using catalogue_news = std::function<void(const std::string& peer, std::uint64_t version)>;

    store_follower(boost::asio::io_context& loop, const clock& clock, edge::upstream_pool& pool,
                   follower_host& host, std::uint16_t port, watchers who_watches,
                   catalogue_news on_catalogue, store_follower_settings settings);

    void start();

    /** A peer heard from the store `store_age` ago. */
    void on_peer(const std::string& address, duration store_age);

    /** What a peer that asks is told; empty when this process isn't in touch itself. */
    std::string answer() const;

    /** Path of the question. */
    static constexpr const char* path = "/registrations";

private:
    void schedule();
    void review();
    void ask(const std::string& peer);
    void take(const std::string& peer, const std::string& page);

    const clock& clock_;
    edge::buffered_calls calls_;
    follower_host& host_;
    std::uint16_t port_;
    watchers who_watches_;
    catalogue_news on_catalogue_;
    store_follower_settings settings_;
    serving::store_contacts contacts_;
    serving::watch_duty duty_;
    boost::asio::steady_timer timer_;
    bool is_watching_ = true;
    std::size_t turn_ = 0; /**< Watchers are asked in turn. */
};

} // namespace camphorgrade::entry
