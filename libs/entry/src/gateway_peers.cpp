#include "gateway_peers.h"

#include "peer_page.h"

#include <algorithm>
#include <utility>

namespace camphorgrade::entry {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr const char* catalogue_path = "/catalogue";

} // namespace

gateway_peers::gateway_peers(boost::asio::io_context& loop, const clock& clock,
                             edge::upstream_pool& pool, serving::dispatcher& dispatcher,
                             fleet_state& fleet, gateway_peers_host& host,
                             const serving::network_address& own_address, std::uint64_t incarnation,
                             const peering::peer_attributes& attributes,
                             const std::vector<std::string>& seeds, gateway_peers_settings settings)
    : loop_(loop), clock_(clock), calls_(loop, pool), dispatcher_(dispatcher), fleet_(fleet),
      host_(host), settings_(settings), own_address_(own_address),
      transport_(
          loop, clock, {boost::asio::ip::make_address(own_address.ip), own_address.port},
          incarnation, attributes, seeds,
          [this](const peering::peer_message& message) { on_message(message); },
          [this](bool is_direct, const std::vector<std::string>& relays) {
              log_routing_change(is_direct, relays);
          },
          settings.transport),
      gateway_selector_(settings.max_gateways_per_report),
      usage_filter_(settings.usage_repeat_duration), server_(loop, clock, *this),
      registration_poller_(
          loop, clock, pool, fleet, own_address.port,
          [this] { return transport_.watching_peers(); },
          [this](const std::string& peer, std::uint64_t version) {
              fetch_catalogue(peer, version, duration::zero());
          },
          {}),
      demand_timer_(loop), report_timer_(loop), permit_timer_(loop) {}

void gateway_peers::start() {
    started_ = clock_.now();
    dispatcher_.limiter().on_start(started_);
    server_.listen({boost::asio::ip::make_address(own_address_.ip), own_address_.port});
    transport_.start();
    schedule_demands(settings_.demand_heartbeat_interval);
    schedule_reports();
    update_granters();
    registration_poller_.start();
}

void gateway_peers::on_request(std::shared_ptr<edge::caller_exchange> exchange) {
    const auto& target = exchange->request().target;
    std::string body;
    if (target == catalogue_path) {
        body = fleet_.catalogue_text();
    } else if (target == registration_poller::registrations_path) {
        body = registration_poller_.registrations_body();
    }
    exchange->answer({body.empty() ? status_not_found : status_ok, {}}, body);
}

void gateway_peers::log_routing_change(bool is_direct, const std::vector<std::string>& relays) {
    std::string addresses;
    for (const auto& each : relays) {
        addresses += addresses.empty() ? each : ',' + each;
    }
    host_.log()
        .line("report_relays")
        .flag("direct", is_direct)
        .text("relays", addresses)
        .number("peers", static_cast<std::int64_t>(transport_.peers().size()));
}

void gateway_peers::on_message(const peering::peer_message& message) {
    if (const auto* report = std::get_if<peering::gateway_report>(&message.body)) {
        handle_gateway_report(message.sender, message.incarnation, *report);
    } else if (const auto* engine = std::get_if<peering::engine_report>(&message.body)) {
        handle_engine_report(*engine);
    } else if (const auto* requests = std::get_if<serving::permit_requests>(&message.body)) {
        dispatcher_.on_permit_requests(message.sender, *requests, clock_.now());
        exchange_permits();
    } else if (const auto* grants = std::get_if<serving::permit_grants>(&message.body)) {
        dispatcher_.on_permit_grants(message.sender, *grants, clock_.now());
        host_.on_effects_pending();
    } else if (const auto* origins = std::get_if<serving::origin_records>(&message.body)) {
        dispatcher_.on_origin_records(*origins, clock_.now());
        host_.on_effects_pending();
    } else if (const auto* query = std::get_if<serving::origin_query>(&message.body)) {
        dispatcher_.on_origin_query(message.sender, *query, clock_.now());
        exchange_origins();
    } else if (const auto* software = std::get_if<serving::software_message>(&message.body)) {
        dispatcher_.on_software_message(message.sender, *software, clock_.now());
        exchange_origins();
        host_.on_effects_pending();
    }
}

void gateway_peers::handle_gateway_report(const std::string& sender, std::uint64_t incarnation,
                                          const peering::gateway_report& report) {
    const auto now = clock_.now();
    transport_.add_advertised_gateways(report.gateways);
    registration_poller_.on_peer_store_age(sender, report.store_age);
    host_.on_peer_checkpoint(report.checkpoint);
    dispatcher_.limiter().on_peer_usage(sender, incarnation, report.process_age, report.usage,
                                        report.has_all_usage, now);
    dispatcher_.limiter().on_peer_reservations(report.reservations, now);
    dispatcher_.on_speed_samples(report.speeds, now);
    dispatcher_.backends().on_peer_avoided_servers(sender, report.avoided_servers, now);
    for (const auto& each : report.crashes) {
        if (dispatcher_.crashes().add(each, now)) {
            host_.log()
                .line("crash_mark_learned")
                .text("backend_server", each.backend_id)
                .text("peer", sender);
        }
    }
    for (const auto& each : report.limits) {
        dispatcher_.on_limit_report(sender, each, now);
    }
    if (!report.parts.is_empty()) {
        dispatcher_.on_parts_report(sender, report.parts, now);
    }
    if (!report.limits.empty() || !report.parts.is_empty()) {
        host_.on_effects_pending();
    }
    for (const auto& [weights, version] : report.versions) {
        dispatcher_.set_adapter_version(weights, version);
    }
    if (report.evacuations) {
        fleet_.on_evacuations(*report.evacuations);
        host_.on_effects_pending();
    }
    fetch_catalogue(sender, report.catalogue_version, settings_.fetch_delay);
}

void gateway_peers::handle_engine_report(const peering::engine_report& report) {
    transport_.add_advertised_gateways(report.gateways);
    dispatcher_.on_engine_state(report.backend_id, report.state, clock_.now());
    host_.on_effects_pending();
}

void gateway_peers::fetch_catalogue(const std::string& peer, std::uint64_t version,
                                    duration delay) {
    if (is_fetching_ || version <= fleet_.catalogue_version()) {
        return;
    }
    is_fetching_ = true;
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_); // shared with its handler
    timer->expires_after(delay);
    timer->async_wait([this, timer, peer, version](const boost::system::error_code& error) {
        if (error || version <= fleet_.catalogue_version()) {
            is_fetching_ = false;
            return;
        }
        fetch_peer_page(calls_, peer, own_address_.port, catalogue_path, settings_.fetch_timeout,
                        [this](const std::optional<std::string>& page) {
                            is_fetching_ = false;
                            if (page) {
                                fleet_.on_peer_catalogue(*page);
                            }
                        });
    });
}

void gateway_peers::demand_changed() {
    if (!is_demand_scheduled_) {
        is_demand_scheduled_ = true;
        schedule_demands(settings_.demand_delay);
    }
}

void gateway_peers::schedule_demands(duration delay) {
    demand_timer_.expires_after(delay);
    demand_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error) {
            return;
        }
        is_demand_scheduled_ = false;
        send_demands();
        schedule_demands(settings_.demand_heartbeat_interval);
    });
}

void gateway_peers::send_demands() {
    const auto now = clock_.now();
    const auto* catalogue = dispatcher_.catalogue();
    if (catalogue == nullptr) {
        return;
    }
    if (!knows_agents_) {
        update_software_peers(transport_.peers());
        exchange_origins();
    }
    std::erase_if(sent_demands_, [this](const auto& each) {
        return dispatcher_.backends().find(each.first) == nullptr;
    });
    const bool is_heartbeat = now - last_demand_heartbeat_ >= settings_.demand_heartbeat_interval;
    if (is_heartbeat) {
        last_demand_heartbeat_ = now;
    }
    const auto demand_by_backend = dispatcher_.open_demand_by_backend(now);
    for (const auto& id : backends_to_update(demand_by_backend, is_heartbeat)) {
        const auto* view = dispatcher_.backends().find(id);
        const auto* service =
            view == nullptr ? nullptr : catalogue->find_service(view->server.service);
        if (service == nullptr || !service->engine) {
            continue;
        }
        const auto found = demand_by_backend.find(id);
        const auto& open_demands =
            found == demand_by_backend.end() ? std::vector<serving::open_demand>{} : found->second;
        send_demand(*view, make_demand(*view, *service->engine, open_demands));
    }
}

std::set<std::string> gateway_peers::backends_to_update(
    const std::map<std::string, std::vector<serving::open_demand>>& demand_by_backend,
    bool is_heartbeat) const {
    std::set<std::string> out;
    for (const auto& each : demand_by_backend) {
        out.insert(each.first);
    }
    for (const auto& [id, last] : sent_demands_) {
        if (!last.demand.adapters.empty()) {
            out.insert(id);
        }
    }
    if (is_heartbeat) {
        for (const auto& each : dispatcher_.backends().all()) {
            out.insert(each.first);
        }
    }
    return out;
}

adapters::engine_demand
gateway_peers::make_demand(const serving::backend_view& view,
                           const serving::engine_capacity& capacity,
                           const std::vector<serving::open_demand>& open_demands) {
    adapters::engine_demand demand;
    demand.backend_id = view.server.id;
    demand.backend_started_at_ms = view.server.started_at_ms;
    demand.queued_prompt_tokens = view.queued_prompt_tokens;
    demand.shape = capacity;
    demand.subscription = transport_.report_subscription_for(view.server.data_centre);
    for (const auto& each : open_demands) {
        demand.adapters.push_back({each.weights, each.waiting, each.in_use, each.oldest_wait,
                                   static_cast<std::uint32_t>(each.urgency),
                                   each.time_to_objective});
    }
    return demand;
}

void gateway_peers::send_demand(const serving::backend_view& view, adapters::engine_demand demand) {
    const auto now = clock_.now();
    auto& last = sent_demands_[view.server.id];
    // The end of a demand is sent as well, because the agent counts the demand until then.
    const bool is_needed = demand.subscription != adapters::report_subscription::none ||
                           !demand.adapters.empty() || !last.demand.adapters.empty();
    if (!is_needed) {
        return;
    }
    auto without_times = demand;
    for (auto& each : without_times.adapters) {
        each.oldest_wait = {}; // this and time_to_objective change with time alone
        each.time_to_objective = {};
    }
    const bool is_due =
        last.sent_at == time_point{} || now - last.sent_at >= settings_.demand_heartbeat_interval;
    if (!is_due && without_times == last.demand) {
        return;
    }
    last = {std::move(without_times), now};
    transport_.send(agent_of(view), std::move(demand));
}

void gateway_peers::schedule_reports() {
    const auto interval =
        transport_.sends_directly() ? settings_.report_interval : settings_.relayed_report_interval;
    report_timer_.expires_after(interval);
    report_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            send_reports(false);
            schedule_reports();
        }
    });
}

void gateway_peers::permits_changed() {
    if (dispatcher_.has_limited_servers()) {
        schedule_permits(settings_.permit_delay);
    }
}

void gateway_peers::schedule_permits(duration delay) {
    const auto at = clock_.now() + delay;
    if (next_permit_exchange_ && *next_permit_exchange_ <= at) {
        return;
    }
    next_permit_exchange_ = at;
    permit_timer_.expires_after(delay);
    permit_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            exchange_permits();
        }
    });
}

void gateway_peers::update_granters() {
    const auto now = clock_.now();
    if (granters_updated_at_ == time_point{} ||
        now - granters_updated_at_ >= settings_.granter_update_interval) {
        granters_updated_at_ = now;
        const auto peers = transport_.peers();
        dispatcher_.set_gateways(transport_.own_address(), transport_.live_granters(), peers, now);
        update_software_peers(peers);
        host_.on_gateway_count(peers.size() + 1);
    }
}

void gateway_peers::update_software_peers(const std::vector<std::string>& peers) {
    const auto known = agents();
    knows_agents_ = !known.empty();
    dispatcher_.set_software_peers(transport_.own_address(), peers, known);
}

std::string gateway_peers::agent_of(const serving::backend_view& view) const {
    return view.server.address.ip + ':' + std::to_string(own_address_.port);
}

std::vector<std::string> gateway_peers::agents() const {
    std::vector<std::string> out;
    const auto* catalogue = dispatcher_.catalogue();
    if (catalogue == nullptr) {
        return out;
    }
    for (const auto& [id, view] : dispatcher_.backends().all()) {
        const auto* service = catalogue->find_service(view.server.service);
        if (service != nullptr && service->engine && !view.is_removed) {
            out.push_back(agent_of(view));
        }
    }
    return out;
}

void gateway_peers::exchange_permits() {
    next_permit_exchange_.reset();
    update_granters();
    for (auto& each : dispatcher_.exchange_permits(clock_.now())) {
        transport_.send(std::move(each));
    }
    const auto now = clock_.now();
    if (const auto next = dispatcher_.next_permit_exchange_at(now)) {
        schedule_permits(std::max(*next - now, settings_.permit_interval));
    }
    host_.on_effects_pending();
}

void gateway_peers::exchange_origins() {
    for (auto& each : dispatcher_.take_origin_messages(clock_.now())) {
        transport_.send(std::move(each));
    }
    for (auto& each : dispatcher_.take_software_messages(clock_.now())) {
        transport_.send(std::move(each));
    }
}

void gateway_peers::usage_changed() {
    const bool may_send = clock_.now() - last_report_ >= settings_.urgent_report_interval;
    if (may_send && dispatcher_.limiter().is_report_due()) {
        send_reports(true);
    }
}

void gateway_peers::crashes_changed() {
    const bool may_send = clock_.now() - last_report_ >= settings_.urgent_report_interval;
    if (may_send && dispatcher_.parts().has_news()) {
        send_reports(true);
    }
}

void gateway_peers::send_reports(bool is_urgent) {
    update_granters();
    const auto now = clock_.now();
    const bool is_full = now - last_full_report_ >= settings_.full_report_interval;
    const auto& usage = dispatcher_.limiter().own_usage();
    peering::gateway_report report;
    report.catalogue_version = fleet_.catalogue_version();
    const bool has_changes =
        usage != reported_usage_ || report.catalogue_version != reported_catalogue_version_ ||
        dispatcher_.limits().has_recent_changes(now) || dispatcher_.parts().has_changes(now) ||
        dispatcher_.limiter().has_unreported_reservations();
    // Relays delay reports, so no report is skipped when relays are in use.
    const bool may_skip = transport_.sends_directly() && !is_full && !has_changes;
    if (may_skip && now - last_report_ < settings_.report_heartbeat_interval) {
        return;
    }
    report.has_all_usage = is_full;
    const auto recent_usage = usage_filter_.changed(usage, now);
    report.usage = is_full ? usage : recent_usage;
    report.checkpoint = host_.newest_checkpoint();
    report.store_age = fleet_.store_age();
    report.process_age = now - started_;
    report.avoided_servers = dispatcher_.backends().avoided_servers(now);
    report.limits = dispatcher_.next_limit_reports(is_full, now);
    report.reservations = dispatcher_.limiter().next_reservations(now);
    report.speeds = dispatcher_.take_speed_samples();
    report.parts = dispatcher_.parts().next_report(is_full, now);
    if (is_full) {
        last_full_report_ = now;
        report.crashes = dispatcher_.crashes().newest(settings_.max_crash_records);
        report.gateways = gateway_selector_.next(transport_.peers());
        report.versions = dispatcher_.versions();
        report.evacuations = dispatcher_.evacuations();
    }
    last_report_ = now;
    dispatcher_.limiter().on_report_sent();
    reported_usage_ = usage;
    reported_catalogue_version_ = report.catalogue_version;
    transport_.publish(std::move(report), is_urgent);
}

} // namespace camphorgrade::entry
