#include "registration_poller.h"

#include "peer_page.h"

#include <utility>

namespace camphorgrade::entry {

registration_poller::registration_poller(boost::asio::io_context& loop, const clock& clock,
                                         edge::upstream_pool& pool, registration_poller_host& host,
                                         std::uint16_t port, watching_peers_provider watching_peers,
                                         catalogue_version_callback on_catalogue_version,
                                         registration_poller_settings settings)
    : clock_(clock), calls_(loop, pool), host_(host), port_(port),
      watching_peers_provider_(std::move(watching_peers)),
      on_catalogue_version_(std::move(on_catalogue_version)), settings_(settings),
      store_contacts_({}), watch_policy_(settings.watch_policy), timer_(loop) {}

void registration_poller::start() {
    schedule();
}

void registration_poller::on_peer_store_age(const std::string& address, duration store_age) {
    store_contacts_.on_peer(address, store_age, clock_.now());
}

std::string registration_poller::registrations_body() const {
    return host_.has_store_contact() ? peering::encode_registrations(host_.registrations())
                                     : std::string{};
}

void registration_poller::schedule() {
    timer_.expires_after(settings_.poll_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            poll();
            schedule();
        }
    });
}

void registration_poller::poll() {
    const auto watching_peers = watching_peers_provider_();
    const bool watches = watch_policy_.should_watch(!watching_peers.empty(), clock_.now());
    if (watches != is_watching_) {
        is_watching_ = watches;
        host_.on_store_watch_changed(watches);
    }
    // The peers that watch the store for this gateway may have lost it together with this gateway.
    const bool is_cut_off = watches && !host_.has_store_contact();
    if (const auto peer = store_contacts_.freshest_peer(clock_.now()); peer && is_cut_off) {
        request_registrations(*peer);
    } else if (!watching_peers.empty()) {
        request_registrations(watching_peers[next_peer_++ % watching_peers.size()]);
    }
}

void registration_poller::request_registrations(const std::string& peer) {
    fetch_peer_page(calls_, peer, port_, registrations_path, settings_.call_timeout,
                    [this, peer](const std::optional<std::string>& body) {
                        if (body) { // otherwise the next poll sends a new request
                            handle_response(peer, *body);
                        }
                    });
}

void registration_poller::handle_response(const std::string& peer, const std::string& body) {
    const auto snapshot = peering::decode_registrations(body);
    if (!snapshot) {
        return;
    }
    watch_policy_.on_peer_update(clock_.now() - snapshot->store_age);
    on_catalogue_version_(peer, snapshot->catalogue_version);
    if (!is_watching_ || !host_.has_store_contact()) {
        host_.on_peer_registrations(*snapshot, peer);
    }
}

} // namespace camphorgrade::entry
