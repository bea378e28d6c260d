#include "registration_relay.h"

#include <peering/registrations.h>

namespace camphorgrade::entry {

namespace {

constexpr int status_ok = 200;

} // namespace

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
    const edge::upstream_address address{
        {boost::asio::ip::make_address(peer.substr(0, peer.rfind(':'))), port_}, peer};
    edge::upstream_request request;
    request.method = "GET";
    request.target = path;
    request.headers = {{"Host", "peer"}};
    calls_.start(address, request, settings_.call_timeout,
                 [this, peer](edge::call_end how, const edge::buffered_answer& answer) {
                     if (how != edge::call_end::answered || answer.head.status != status_ok ||
                         host_.is_in_touch()) {
                         return; // asked again at the next interval, if it is still needed
                     }
                     if (const auto servers = peering::decode_registrations(answer.body)) {
                         host_.on_peer_registrations(*servers, peer);
                     }
                 });
}

} // namespace camphorgrade::entry
