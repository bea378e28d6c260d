#include "peer_transport.h"

#include <algorithm>
#include <set>
#include <utility>

namespace camphorgrade::entry {

peer_transport::peer_transport(boost::asio::io_context& loop, const clock& clock,
                               const boost::asio::ip::udp::endpoint& own, std::uint64_t life,
                               peering::peer_attributes identity,
                               const std::vector<std::string>& seeds, message_handler take,
                               routing_change_handler on_travel, peer_transport_settings settings)
    : clock_(clock), settings_(settings), data_centre_(identity.data_centre),
      take_(std::move(take)), on_travel_(std::move(on_travel)),
      socket_(loop, clock, own, life, identity,
              [this](const peering::peer_message& message, const peering::receive_info& how) {
                  on_message(message, how);
              }),
      directory_(socket_.own_address(), std::move(identity), settings.relays),
      bundler_(settings.max_bundle_bytes), timer_(loop) {
    std::copy_if(seeds.begin(), seeds.end(), std::back_inserter(seeds_),
                 [this](const std::string& each) { return each != own_address(); });
}

void peer_transport::start() {
    hand_on_within(settings_.forward_interval);
}

void peer_transport::review_relays() {
    const auto now = clock_.now();
    directory_.remove_expired(now);
    const bool was_direct = std::exchange(is_direct_, directory_.sends_directly(now));
    const auto before = std::exchange(local_relays_, {});
    if (!is_direct_) {
        local_relays_ = directory_.select_relays(data_centre_, now);
    }
    wishes_.clear();
    if (is_direct_ != was_direct || local_relays_ != before) {
        on_travel_(is_direct_, local_relays_);
    }
}

std::vector<std::string> peer_transport::watching_peers() const {
    const bool is_relay =
        std::find(local_relays_.begin(), local_relays_.end(), own_address()) != local_relays_.end();
    return is_relay ? std::vector<std::string>{} : local_relays_;
}

adapters::report_subscription
peer_transport::report_subscription_for(const std::string& data_centre) {
    if (is_direct_) {
        return adapters::report_subscription::direct;
    }
    const auto [found, is_new] =
        wishes_.try_emplace(data_centre, adapters::report_subscription::none);
    if (is_new && directory_.is_relay_for(data_centre, clock_.now())) {
        found->second = adapters::report_subscription::relay;
    }
    return found->second;
}

void peer_transport::publish(peering::gateway_report report, bool is_urgent) {
    if (sends_directly()) {
        socket_.send(peers(), std::move(report));
        return;
    }
    const auto sealed = socket_.prepare(std::move(report), {true, is_urgent});
    auto relays = directory_.select_relays(data_centre_, clock_.now());
    if (std::erase(relays, own_address()) > 0) {
        bundler_.add(sealed, peering::report_origin::sender);
        is_urgent_ = is_urgent_ || is_urgent;
        hand_on_within(is_urgent ? settings_.urgent_forward_delay : settings_.forward_interval);
    }
    socket_.send_prepared(relays, sealed);
}

void peer_transport::send(const std::string& agent, adapters::engine_demand demand) {
    socket_.send({agent}, std::move(demand));
}

void peer_transport::add_advertised_gateways(const std::vector<std::string>& addresses) {
    const auto now = clock_.now();
    std::erase_if(
        named_, [&](const auto& each) { return now - each.second >= settings_.advertised_expiry; });
    for (const auto& each : addresses) {
        if (each != own_address()) {
            named_.try_emplace(each, now);
        }
    }
}

std::vector<std::string> peer_transport::peers() const {
    const auto heard = directory_.peers(clock_.now());
    std::set<std::string> out(heard.begin(), heard.end());
    out.insert(seeds_.begin(), seeds_.end());
    for (const auto& [address, when] : named_) {
        out.insert(address);
    }
    return {out.begin(), out.end()};
}

void peer_transport::on_message(const peering::peer_message& message,
                                const peering::receive_info& how) {
    const auto kind = message.kind();
    const bool is_gateway =
        kind == peering::message_kind::gateway || kind == peering::message_kind::bundle;
    if (is_gateway) {
        directory_.on_gateway_seen(message.sender, message.sender_attributes, how.is_direct,
                                   clock_.now());
        named_.erase(message.sender);
    }
    const bool is_told_directly = kind == peering::message_kind::gateway && how.is_direct &&
                                  !message.options.is_to_be_relayed;
    if (is_told_directly && !is_direct_) {
        introduce(message.sender);
    }
    gather(message, how);
    take_(message);
}

void peer_transport::introduce(const std::string& newcomer) {
    peering::gateway_report names;
    names.gateways = directory_.bootstrap_peers(newcomer, clock_.now());
    if (!names.gateways.empty()) {
        names.has_all_usage = false;
        names.store_age = duration{-1};
        socket_.send({newcomer}, std::move(names));
    }
}

void peer_transport::gather(const peering::peer_message& message,
                            const peering::receive_info& how) {
    const bool is_asked = how.is_direct && message.options.is_to_be_relayed;
    if (!is_asked && !how.is_for_data_centre) {
        return;
    }
    bundler_.add({message.sender, how.sender_incarnation, message.sequence, message.kind(),
                  std::string(how.datagram)},
                 is_asked ? peering::report_origin::sender : peering::report_origin::remote_relay);
    is_urgent_ = is_urgent_ || message.options.is_urgent;
    hand_on_within(message.options.is_urgent ? settings_.urgent_forward_delay
                                             : settings_.forward_interval);
}

void peer_transport::hand_on_within(duration time) {
    const auto at = clock_.now() + time;
    const bool is_scheduled = hand_on_at_ != time_point{};
    if (is_scheduled && hand_on_at_ <= at) {
        return;
    }
    hand_on_at_ = at;
    timer_.expires_after(time);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            hand_on_at_ = {};
            review_relays();
            hand_on();
            hand_on_within(settings_.forward_interval);
        }
    });
}

void peer_transport::hand_on() {
    const auto now = clock_.now();
    const bool is_relay = !is_direct_ && directory_.is_relay_for(data_centre_, now);
    if (!is_relay && bundler_.is_empty()) {
        return;
    }
    const peering::relay_options options{false, std::exchange(is_urgent_, false)};
    const auto relays = directory_.select_remote_relays(now);
    auto outwards = bundler_.for_other_data_centres();
    auto inwards = bundler_.for_own_data_centre();
    bundler_.clear();
    if (outwards.empty()) {
        outwards.emplace_back(); // tells the others that this relay lives
    }
    if (inwards.empty()) {
        inwards.emplace_back();
    }
    for (auto& each : outwards) {
        socket_.send(relays, std::move(each), options);
    }
    const auto local = directory_.local_peers(now);
    for (auto& each : inwards) {
        socket_.send(local, std::move(each), options);
    }
}

} // namespace camphorgrade::entry
