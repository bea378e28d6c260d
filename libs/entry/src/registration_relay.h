#pragma once

#include <edge/buffered_calls.h>
#include <edge/upstream_pool.h>
#include <kernel/clock.h>
#include <serving/backend_server.h>
#include <serving/store_contacts.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorgrade::entry {

/** What the relay needs of its gateway. Must outlive it. */
class relay_host {
public:
    relay_host() = default;
    relay_host(const relay_host&) = delete;
    relay_host& operator=(const relay_host&) = delete;
    virtual ~relay_host() = default;

    /** Whether this process is in touch with the store. */
    virtual bool is_in_touch() const = 0;
    /** Servers that are registered, as far as is known. */
    virtual std::vector<serving::backend_server> registered() const = 0;
    /** The servers that `peer`, which is in touch with the store, knows. */
    virtual void on_peer_registrations(const std::vector<serving::backend_server>& servers,
                                       const std::string& peer) = 0;
};

/** Times of registration_relay. */
struct registration_relay_settings {
    duration interval{700};     /**< Between two questions: leaving servers must be known of well
                                     before they are gone. */
    duration call_timeout{600}; /**< Of a question; a silent peer must not hold up the next. */

    friend bool operator==(const registration_relay_settings&,
                           const registration_relay_settings&) = default;
};

/**
 * Asks a peer for the registered servers while the store is out of reach of this process alone.
 * Not thread safe.
 */
class registration_relay {
public:
    registration_relay(boost::asio::io_context& loop, const clock& clock, edge::upstream_pool& pool,
                       relay_host& host, std::uint16_t port, registration_relay_settings settings);

    void start();

    /** A peer heard from the store `store_age` ago. */
    void on_peer(const std::string& address, duration store_age);

    /** What a peer that asks is told; empty when this process isn't in touch itself. */
    std::string answer() const;

    /** Path of the question. */
    static constexpr const char* path = "/registrations";

private:
    void schedule();
    void ask(const std::string& peer);

    const clock& clock_;
    edge::buffered_calls calls_;
    relay_host& host_;
    std::uint16_t port_;
    registration_relay_settings settings_;
    serving::store_contacts contacts_;
    boost::asio::steady_timer timer_;
};

} // namespace camphorgrade::entry
