#include "registration_poller.h"

#include "peer_page.h"

#include <utility>

namespace camphorgrade::entry {

registration_poller::registration_poller(boost::asio::io_context& loop, const clock& clock,
                                         edge::upstream_pool& pool, registration_poller_host& host,
                                         std::uint16_t port, watching_peers_provider who_watches,
                                         catalogue_version_callback on_catalogue,
                                         registration_poller_settings settings)
    : clock_(clock), calls_(loop, pool), host_(host), port_(port),
      who_watches_(std::move(who_watches)), on_catalogue_(std::move(on_catalogue)),
      settings_(settings), contacts_({}), duty_(settings.duty), timer_(loop) {}

void registration_poller::start() {
    schedule();
}

void registration_poller::on_peer_store_age(const std::string& address, duration store_age) {
    contacts_.on_peer(address, store_age, clock_.now());
}

std::string registration_poller::registrations_body() const {
    return host_.has_store_contact() ? peering::encode_registrations(host_.registrations())
                                     : std::string{};
}

void registration_poller::schedule() {
    timer_.expires_after(settings_.poll_interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            review();
            schedule();
        }
    });
}

void registration_poller::review() {
    const auto watching_peers = who_watches_();
    const bool watches = duty_.should_watch(!watching_peers.empty(), clock_.now());
    if (watches != is_watching_) {
        is_watching_ = watches;
        host_.on_store_watch_changed(watches);
    }
    if (!watching_peers.empty()) {
        ask(watching_peers[turn_++ % watching_peers.size()]);
    } else if (const auto peer = contacts_.freshest_peer(clock_.now());
               peer && !host_.has_store_contact()) {
        ask(*peer);
    }
}

void registration_poller::ask(const std::string& peer) {
    fetch_peer_page(calls_, peer, port_, registrations_path, settings_.call_timeout,
                    [this, peer](const std::optional<std::string>& page) {
                        if (page) {
                            take(peer, *page); // else it is asked again at the next interval
                        }
                    });
}

void registration_poller::take(const std::string& peer, const std::string& text) {
    const auto page = peering::decode_registrations(text);
    if (!page) {
        return;
    }
    duty_.on_peer_update(clock_.now() - page->store_age);
    on_catalogue_(peer, page->catalogue_version);
    if (!is_watching_ || !host_.has_store_contact()) {
        host_.on_peer_registrations(*page, peer);
    }
}

} // namespace camphorgrade::entry
