#include "registration_relay.h"

#include "peer_page.h"

#include <peering/registrations.h>

namespace camphorgrade::entry {

registration_relay::registration_relay(boost::asio::io_context& loop, const clock& clock,
                                       edge::upstream_pool& pool, relay_host& host,
                                       std::uint16_t port, registration_relay_settings settings)
    : clock_(clock), calls_(loop, pool), host_(host), port_(port), settings_(settings),
      contacts_({}), timer_(loop) {}

void registration_relay::start() {
    schedule();
}

void registration_relay::on_peer(const std::string& address, duration store_age) {
    contacts_.on_peer(address, store_age, clock_.now());
}

std::string registration_relay::answer() const {
    return host_.is_in_touch() ? peering::encode_registrations(host_.registered()) : std::string{};
}

void registration_relay::schedule() {
    timer_.expires_after(settings_.interval);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (error) {
            return;
        }
        const auto peer = contacts_.best(clock_.now());
        if (peer && !host_.is_in_touch()) {
            ask(*peer);
        }
        schedule();
    });
}

void registration_relay::ask(const std::string& peer) {
    fetch_peer_page(calls_, peer, port_, path, settings_.call_timeout,
                    [this, peer](const std::optional<std::string>& page) {
                        if (!page || host_.is_in_touch()) {
                            return; // asked again at the next interval, if it is still needed
                        }
                        if (const auto servers = peering::decode_registrations(*page)) {
                            host_.on_peer_registrations(*servers, peer);
                        }
                    });
}

} // namespace camphorgrade::entry
