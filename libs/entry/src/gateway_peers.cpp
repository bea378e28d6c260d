#include "gateway_peers.h"

#include "peer_page.h"

#include <algorithm>
#include <utility>

namespace camphorgrade::entry {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr const char* catalogue_path = "/catalogue";

std::string text_of(const serving::network_address& address) {
    return address.ip + ':' + std::to_string(address.port);
}

} // namespace

gateway_peers::gateway_peers(boost::asio::io_context& loop, const clock& clock,
                             edge::upstream_pool& pool, serving::dispatcher& dispatcher,
                             fleet_knowledge& fleet, peers_host& host,
                             const serving::network_address& own, std::uint64_t life,
                             const std::vector<std::string>& seeds, gateway_peers_settings settings)
    : loop_(loop), clock_(clock), calls_(loop, pool), dispatcher_(dispatcher), fleet_(fleet),
      host_(host), settings_(settings), own_(own),
      socket_(loop, clock, {boost::asio::ip::make_address(own.ip), own.port}, life,
              [this](const peering::peer_message& message) { on_message(message); }),
      named_(settings.max_named), server_(loop, clock, *this),
      relay_(loop, clock, pool, fleet, own.port, {}), demand_timer_(loop), report_timer_(loop) {
    for (const auto& each : seeds) {
        if (each != text_of(own_)) {
            peers_[each].is_seed = true;
        }
    }
}

void gateway_peers::start() {
    started_ = clock_.now();
    dispatcher_.limiter().begin(started_);
    server_.listen({boost::asio::ip::make_address(own_.ip), own_.port});
    schedule_demands(settings_.demand_heartbeat);
    schedule_reports();
    relay_.start();
}

void gateway_peers::on_request(std::shared_ptr<edge::caller_exchange> exchange) {
    const auto& target = exchange->request().target;
    std::string body;
    if (target == catalogue_path) {
        body = fleet_.catalogue_text();
    } else if (target == registration_relay::path) {
        body = relay_.answer();
    }
    exchange->answer({body.empty() ? status_not_found : status_ok, {}}, body);
}

void gateway_peers::on_message(const peering::peer_message& message) {
    if (const auto* report = std::get_if<peering::gateway_report>(&message.body)) {
        take(message.sender, message.life, *report);
    } else if (const auto* engine = std::get_if<peering::engine_report>(&message.body)) {
        take(*engine);
    }
}

void gateway_peers::take(const std::string& sender, std::uint64_t life,
                         const peering::gateway_report& report) {
    const auto now = clock_.now();
    peers_[sender].heard = now;
    learn(report.gateways);
    relay_.on_peer(sender, report.store_age);
    dispatcher_.limiter().on_peer_usage(sender, life, report.process_age, report.usage, now);
    for (const auto& each : report.crashes) {
        if (dispatcher_.crashes().add(each, now)) {
            host_.log()
                .line("crash_mark_learned")
                .text("backend_server", each.backend_id)
                .text("peer", sender);
        }
    }
    for (const auto& [weights, version] : report.versions) {
        dispatcher_.set_adapter_version(weights, version);
    }
    const auto* known = dispatcher_.catalogue();
    const auto own_version = known == nullptr ? 0 : known->catalogue().version;
    if (report.catalogue_version > own_version) {
        fetch_catalogue(sender, report.catalogue_version);
    }
}

void gateway_peers::take(const peering::engine_report& report) {
    learn(report.gateways);
    dispatcher_.on_engine_state(report.backend_id, report.state, clock_.now());
    host_.effects_due();
}

void gateway_peers::learn(const std::vector<std::string>& addresses) {
    const auto now = clock_.now();
    for (const auto& each : addresses) {
        if (each != socket_.own_address()) {
            peers_.try_emplace(each, peer{now, false});
        }
    }
}

std::vector<std::string> gateway_peers::live_peers() const {
    std::vector<std::string> out;
    const auto now = clock_.now();
    for (const auto& [address, each] : peers_) {
        if (each.is_seed || now - each.heard < settings_.peer_expiry) {
            out.push_back(address);
        }
    }
    return out;
}

void gateway_peers::fetch_catalogue(const std::string& from, std::uint64_t version) {
    if (is_fetching_) {
        return;
    }
    is_fetching_ = true;
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_); // lives as long as its wait
    timer->expires_after(settings_.fetch_delay);
    timer->async_wait([this, timer, from, version](const boost::system::error_code& error) {
        const auto* known = dispatcher_.catalogue();
        if (error || (known != nullptr && known->catalogue().version >= version)) {
            is_fetching_ = false;
            return;
        }
        fetch_peer_page(calls_, from, own_.port, catalogue_path, settings_.fetch_timeout,
                        [this](const std::optional<std::string>& page) {
                            is_fetching_ = false;
                            if (page) {
                                fleet_.on_peer_catalogue(*page);
                            }
                        });
    });
}

void gateway_peers::demand_changed() {
    if (!is_demand_soon_) {
        is_demand_soon_ = true;
        schedule_demands(settings_.demand_delay);
    }
}

void gateway_peers::schedule_demands(duration after) {
    demand_timer_.expires_after(after);
    demand_timer_.async_wait([this](const boost::system::error_code& error) {
        if (error) {
            return;
        }
        is_demand_soon_ = false;
        send_demands();
        schedule_demands(settings_.demand_heartbeat);
    });
}

void gateway_peers::send_demands() {
    const auto now = clock_.now();
    std::erase_if(sent_, [this](const auto& each) {
        return dispatcher_.board().find(each.first) == nullptr;
    });
    const auto open = dispatcher_.open_by_backend(now);
    for (const auto& [id, view] : dispatcher_.board().all()) {
        const auto* index = dispatcher_.catalogue();
        const auto* service = index == nullptr ? nullptr : index->find_service(view.server.service);
        if (service == nullptr || !service->engine) {
            continue;
        }
        adapters::engine_demand demand;
        demand.backend_id = id;
        demand.backend_born = view.server.born;
        demand.queued_prompt_tokens = view.queued_prompt_tokens;
        demand.shape = *service->engine;
        const auto found = open.find(id);
        if (found != open.end()) {
            for (const auto& each : found->second) {
                demand.wants.push_back({each.weights, each.waiting, each.in_use, each.oldest_wait,
                                        static_cast<std::uint32_t>(each.urgency)});
            }
        }
        send_demand(view, std::move(demand));
    }
}

void gateway_peers::send_demand(const serving::backend_view& view, adapters::engine_demand demand) {
    const auto now = clock_.now();
    auto& last = sent_[view.server.id];
    auto comparable = demand;
    for (auto& each : comparable.wants) {
        each.oldest_wait = {}; // it grows by itself
    }
    const bool is_due = last.at == time_point{} || now - last.at >= settings_.demand_heartbeat;
    if (!is_due && comparable == last.demand) {
        return;
    }
    last = {std::move(comparable), now};
    socket_.send({view.server.address.ip + ':' + std::to_string(own_.port)}, std::move(demand));
}

void gateway_peers::schedule_reports() {
    const auto peers = live_peers().size();
    const auto slowdown = std::max<std::size_t>(1, peers / settings_.full_pace_peers);
    report_timer_.expires_after(settings_.report_interval * static_cast<int>(slowdown));
    report_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            send_reports();
            schedule_reports();
        }
    });
}

void gateway_peers::usage_changed() {
    const bool may_send = clock_.now() - report_at_ >= settings_.early_report;
    if (may_send && dispatcher_.limiter().is_report_due()) {
        send_reports();
    }
}

void gateway_peers::send_reports() {
    const auto now = clock_.now();
    const bool is_full = now - full_report_at_ >= settings_.full_report_interval;
    const auto& usage = dispatcher_.limiter().own_usage();
    const auto* known = dispatcher_.catalogue();
    peering::gateway_report report;
    report.catalogue_version = known == nullptr ? 0 : known->catalogue().version;
    const bool is_news =
        usage != reported_usage_ || report.catalogue_version != reported_catalogue_;
    if (!is_full && !is_news && now - report_at_ < settings_.report_heartbeat) {
        return;
    }
    const auto peers = live_peers();
    report.usage = usage;
    report.store_age = fleet_.store_age();
    report.process_age = now - started_;
    if (is_full) {
        full_report_at_ = now;
        report.crashes = dispatcher_.crashes().newest(settings_.max_marks);
        report.gateways = named_.next(peers);
        report.versions = dispatcher_.versions();
    }
    report_at_ = now;
    dispatcher_.limiter().on_reported();
    reported_usage_ = usage;
    reported_catalogue_ = report.catalogue_version;
    socket_.send(peers, std::move(report));
}

} // namespace camphorgrade::entry
