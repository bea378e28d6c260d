#include "store_follower.h"

#include "peer_page.h"

#include <utility>

namespace camphorgrade::entry {

store_follower::store_follower(boost::asio::io_context& loop, const clock& clock,
                               edge::upstream_pool& pool, follower_host& host, std::uint16_t port,
                               watchers who_watches, catalogue_news on_catalogue,
                               store_follower_settings settings)
    : clock_(clock), calls_(loop, pool), host_(host), port_(port),
      who_watches_(std::move(who_watches)), on_catalogue_(std::move(on_catalogue)),
      settings_(settings), contacts_({}), duty_(settings.duty), timer_(loop) {}

void store_follower::start() {
    schedule();
}

void store_follower::on_peer(const std::string& address, duration store_age) {
    contacts_.on_peer(address, store_age, clock_.now());
}

std::string store_follower::answer() const {
    return host_.is_in_touch() ? peering::encode_registrations(host_.registrations())
                               : std::string{};
}

void store_follower::schedule() {
    timer_.expires_after(settings_.interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            review();
            schedule();
        }
    });
}

void store_follower::review() {
    const auto watching_peers = who_watches_();
    const bool watches = duty_.watches(!watching_peers.empty(), clock_.now());
    if (watches != is_watching_) {
        is_watching_ = watches;
        host_.on_watch_duty(watches);
    }
    if (!watching_peers.empty()) {
        ask(watching_peers[turn_++ % watching_peers.size()]);
    } else if (const auto peer = contacts_.best(clock_.now()); peer && !host_.is_in_touch()) {
        ask(*peer);
    }
}

void store_follower::ask(const std::string& peer) {
    fetch_peer_page(calls_, peer, port_, path, settings_.call_timeout,
                    [this, peer](const std::optional<std::string>& page) {
                        if (page) {
                            take(peer, *page); // else it is asked again at the next interval
                        }
                    });
}

void store_follower::take(const std::string& peer, const std::string& text) {
    const auto page = peering::decode_registrations(text);
    if (!page) {
        return;
    }
    duty_.on_page(clock_.now() - page->store_age);
    on_catalogue_(peer, page->catalogue_version);
    if (!is_watching_ || !host_.is_in_touch()) {
        host_.on_peer_page(*page, peer);
    }
}

} // namespace camphorgrade::entry
