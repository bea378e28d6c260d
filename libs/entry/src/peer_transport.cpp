#include "peer_transport.h"

#include <algorithm>
#include <set>
#include <utility>

namespace camphorgrade::entry {

peer_transport::peer_transport(boost::asio::io_context& loop, const clock& clock,
                               const boost::asio::ip::udp::endpoint& own_endpoint,
                               std::uint64_t incarnation, peering::peer_attributes attributes,
                               const std::vector<std::string>& seeds, message_handler handler,
                               routing_change_handler on_routing_change,
                               peer_transport_settings settings)
    : clock_(clock), settings_(settings), data_centre_(attributes.data_centre),
      message_handler_(std::move(handler)), routing_change_handler_(std::move(on_routing_change)),
      socket_(loop, clock, own_endpoint, incarnation, attributes,
              [this](const peering::peer_message& message, const peering::receive_info& info) {
                  on_message(message, info);
              }),
      directory_(socket_.own_address(), std::move(attributes), settings.relays),
      bundler_(settings.max_bundle_bytes), timer_(loop) {
    std::copy_if(seeds.begin(), seeds.end(), std::back_inserter(seeds_),
                 [this](const std::string& each) { return each != own_address(); });
}

void peer_transport::start() {
    schedule_forwarding(settings_.forward_interval);
}

void peer_transport::update_relays() {
    const auto now = clock_.now();
    directory_.remove_expired(now);
    const bool was_direct = std::exchange(is_direct_, directory_.sends_directly(now));
    const auto before = std::exchange(local_relays_, {});
    if (!is_direct_) {
        local_relays_ = directory_.select_relays(data_centre_, now);
    }
    subscriptions_.clear();
    if (is_direct_ != was_direct || local_relays_ != before) {
        routing_change_handler_(is_direct_, local_relays_);
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
        subscriptions_.try_emplace(data_centre, adapters::report_subscription::none);
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
    const auto prepared = socket_.prepare(std::move(report), {true, is_urgent});
    auto relays = directory_.select_relays(data_centre_, clock_.now());
    if (std::erase(relays, own_address()) > 0) {
        bundler_.add(prepared, peering::report_origin::sender);
        has_urgent_report_ = has_urgent_report_ || is_urgent;
        schedule_forwarding(is_urgent ? settings_.urgent_forward_delay
                                      : settings_.forward_interval);
    }
    socket_.send_prepared(relays, prepared);
}

void peer_transport::send(const std::string& agent, adapters::engine_demand demand) {
    socket_.send({agent}, std::move(demand));
}

void peer_transport::send(serving::permit_message message) {
    std::visit([&](auto& body) { socket_.send({message.to}, std::move(body)); }, message.body);
}

void peer_transport::send(serving::origin_message message) {
    std::visit([&](auto& body) { socket_.send({message.to}, std::move(body)); }, message.body);
}

void peer_transport::send(serving::addressed_software_message message) {
    socket_.send({message.to}, std::move(message.body));
}

void peer_transport::add_advertised_gateways(const std::vector<std::string>& addresses) {
    const auto now = clock_.now();
    std::erase_if(advertised_gateways_, [&](const auto& each) {
        return now - each.second >= settings_.advertised_expiry;
    });
    for (const auto& each : addresses) {
        if (each != own_address()) {
            advertised_gateways_.try_emplace(each, now);
        }
    }
}

std::vector<std::string> peer_transport::peers() const {
    const auto known = directory_.peers(clock_.now());
    std::set<std::string> out(known.begin(), known.end());
    out.insert(seeds_.begin(), seeds_.end());
    for (const auto& [address, added_at] : advertised_gateways_) {
        out.insert(address);
    }
    return {out.begin(), out.end()};
}

void peer_transport::on_message(const peering::peer_message& message,
                                const peering::receive_info& info) {
    const auto kind = message.kind();
    const bool is_from_agent =
        kind == peering::message_kind::engine ||
        (kind == peering::message_kind::software && !message.sender_attributes.grants_permits);
    const bool is_gateway = !is_from_agent && kind != peering::message_kind::demand;
    if (is_gateway) {
        directory_.on_gateway_seen(message.sender, message.sender_attributes, info.is_direct,
                                   clock_.now());
        advertised_gateways_.erase(message.sender);
    }
    const bool is_direct_report = kind == peering::message_kind::gateway && info.is_direct &&
                                  !message.options.is_to_be_relayed;
    if (is_direct_report && !is_direct_) {
        send_bootstrap_peers(message.sender);
    }
    queue_for_forwarding(message, info);
    message_handler_(message);
}

void peer_transport::send_bootstrap_peers(const std::string& gateway) {
    peering::gateway_report report;
    report.gateways = directory_.bootstrap_peers(gateway, clock_.now());
    if (!report.gateways.empty()) {
        report.has_all_usage = false;
        report.store_age = duration{-1};
        socket_.send({gateway}, std::move(report));
    }
}

void peer_transport::queue_for_forwarding(const peering::peer_message& message,
                                          const peering::receive_info& info) {
    const bool is_relay_request = info.is_direct && message.options.is_to_be_relayed;
    if (!is_relay_request && !info.is_for_data_centre) {
        return;
    }
    bundler_.add({message.sender, info.sender_incarnation, message.sequence, message.kind(),
                  std::string(info.datagram)},
                 is_relay_request ? peering::report_origin::sender
                                  : peering::report_origin::remote_relay);
    has_urgent_report_ = has_urgent_report_ || message.options.is_urgent;
    schedule_forwarding(message.options.is_urgent ? settings_.urgent_forward_delay
                                                  : settings_.forward_interval);
}

void peer_transport::schedule_forwarding(duration delay) {
    const auto at = clock_.now() + delay;
    const bool is_scheduled = next_forwarding_ != time_point{};
    if (is_scheduled && next_forwarding_ <= at) {
        return;
    }
    next_forwarding_ = at;
    timer_.expires_after(delay);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            next_forwarding_ = {};
            update_relays();
            forward_reports();
            schedule_forwarding(settings_.forward_interval);
        }
    });
}

void peer_transport::forward_reports() {
    const auto now = clock_.now();
    const bool is_relay = !is_direct_ && directory_.is_relay_for(data_centre_, now);
    if (!is_relay && bundler_.is_empty()) {
        return;
    }
    const peering::relay_options options{false, std::exchange(has_urgent_report_, false)};
    const auto relays = directory_.select_remote_relays(now);
    auto remote_bundles = bundler_.for_other_data_centres();
    auto local_bundles = bundler_.for_own_data_centre();
    bundler_.clear();
    if (remote_bundles.empty()) {
        remote_bundles.emplace_back(); // an empty bundle shows that this relay is alive
    }
    if (local_bundles.empty()) {
        local_bundles.emplace_back();
    }
    for (auto& each : remote_bundles) {
        socket_.send(relays, std::move(each), options);
    }
    const auto local = directory_.local_peers(now);
    for (auto& each : local_bundles) {
        socket_.send(local, std::move(each), options);
    }
}

} // namespace camphorgrade::entry
