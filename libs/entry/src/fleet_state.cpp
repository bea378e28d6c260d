#include "fleet_state.h"

#include <serving/store_contacts.h>

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <utility>

namespace camphorgrade::entry {

namespace {

/** Servers of a registration snapshot. The sender waits for `awaited` to register again. */
struct split_servers {
    std::vector<serving::backend_server> registered;
    std::vector<serving::backend_server> awaited;
};

/** Whether `address` can be connected to. */
bool is_address(const serving::network_address& address) {
    boost::system::error_code error;
    static_cast<void>(boost::asio::ip::make_address_v4(address.ip, error));
    return !error && address.port != 0;
}

split_servers split_awaited(const peering::registration_snapshot& snapshot) {
    split_servers out;
    for (const auto& each : snapshot.servers) {
        auto& part = snapshot.awaited.count(each.id) == 0 ? out.registered : out.awaited;
        part.push_back(each);
    }
    return out;
}

} // namespace

fleet_state::fleet_state(const clock& clock, event_log& log, serving::dispatcher& dispatcher,
                         const serving::catalogue_reader& reader, fleet_state_listener& listener)
    : clock_(clock), log_(log), dispatcher_(dispatcher), reader_(reader), listener_(listener),
      registrations_({}) {}

bool fleet_state::is_complete() const {
    return dispatcher_.catalogue() != nullptr && has_registrations_;
}

void fleet_state::expire() {
    for (const auto& id : registrations_.expire(clock_.now())) {
        remove_server(id, "not_registered_again");
    }
}

void fleet_state::on_catalogue(serving::service_catalogue catalogue, const std::string& text) {
    const auto* known = dispatcher_.catalogue();
    const auto version = catalogue.version;
    if (known != nullptr && version <= known->catalogue().version) {
        return;
    }
    edge::caller_limits limits;
    limits.max_header_bytes = catalogue.bounds.max_header_bytes;
    limits.max_body_bytes = catalogue.bounds.max_body_bytes;
    limits.header_timeout = catalogue.bounds.header_timeout;
    limits.idle_timeout = catalogue.bounds.idle_timeout;
    listener_.on_caller_limits(limits);
    for (const auto& each : catalogue.accounts) {
        log_.line("account_limit")
            .text("account", each.name)
            .number("rate_per_s", static_cast<std::int64_t>(each.rate_per_s))
            .number("burst", static_cast<std::int64_t>(each.burst));
    }
    log_.line("catalogue_in_force")
        .number("version", static_cast<std::int64_t>(version))
        .number("routes", static_cast<std::int64_t>(catalogue.routes.size()));
    dispatcher_.set_catalogue(std::move(catalogue), clock_.now());
    catalogue_text_ = text;
    listener_.on_fleet_changed();
}

void fleet_state::on_peer_catalogue(const std::string& text) {
    if (auto catalogue = reader_.read(text)) {
        on_catalogue(std::move(*catalogue), text);
    } else {
        on_bad_record("catalogue of a peer", "unreadable");
    }
}

void fleet_state::on_adapter_version(const std::string& weights, std::uint64_t version) {
    log_.line("adapter_version")
        .text("weights", weights)
        .number("version", static_cast<std::int64_t>(version));
    dispatcher_.set_adapter_version(weights, version);
}

void fleet_state::on_evacuations(const serving::evacuation_state& state) {
    const auto before = dispatcher_.backends().evacuated();
    if (!dispatcher_.set_evacuations(state, clock_.now())) {
        return;
    }
    for (const auto& each : state.data_centres) {
        if (before.count(each) == 0) {
            log_evacuation("data_centre_evacuated", each);
        }
    }
    for (const auto& each : before) {
        if (state.data_centres.count(each) == 0) {
            log_evacuation("data_centre_restored", each);
        }
    }
    listener_.on_fleet_changed();
}

void fleet_state::log_evacuation(const char* event, const std::string& data_centre) {
    const auto& servers = dispatcher_.backends().all();
    const auto count = std::count_if(servers.begin(), servers.end(), [&](const auto& each) {
        return each.second.server.data_centre == data_centre;
    });
    log_.line(event)
        .text("data_centre", data_centre)
        .number("backend_servers", count)
        .number("revision", static_cast<std::int64_t>(dispatcher_.evacuations()->position.revision))
        .number("store_age_ms", store_age().count());
}

void fleet_state::on_registrations(const std::vector<serving::backend_server>& servers) {
    if (has_registrations_) {
        listener_.on_store_history_lost(); // otherwise the changes would have been enough
    }
    has_registrations_ = true;
    is_following_ = false;
    for (const auto& id : registrations_.on_full_list(servers, clock_.now())) {
        remove_server(id, "not_registered");
    }
    for (const auto& each : servers) {
        if (registrations_.is_valid(each)) {
            apply_registration(each);
        }
    }
}

bool fleet_state::has_store_contact() const {
    return is_store_reachable_ && has_registrations_ &&
           serving::store_contacts_settings{}.is_in_contact(store_age());
}

peering::registration_snapshot fleet_state::registrations() const {
    peering::registration_snapshot out;
    for (const auto& [id, view] : dispatcher_.backends().all()) {
        if (!view.is_removed) {
            out.servers.push_back(view.server);
        }
    }
    for (const auto& id : registrations_.awaited()) {
        out.awaited.insert(id);
    }
    out.position = position_;
    out.is_settled = registrations_.is_settled(clock_.now());
    out.store_age = store_age();
    if (registrations_known_) {
        out.registrations_age = clock_.now() - registrations_known_->until;
    }
    out.catalogue_version = catalogue_version();
    return out;
}

std::uint64_t fleet_state::catalogue_version() const {
    const auto* known = dispatcher_.catalogue();
    return known == nullptr ? 0 : known->catalogue().version;
}

void fleet_state::on_registrations_position(const serving::store_position& position) {
    position_ = std::max(position_, position);
    on_registrations_as_of(clock_.now(), is_following_);
    is_following_ = true;
}

void fleet_state::on_registrations_as_of(time_point time, bool is_continuous) {
    if (registrations_known_ && time < registrations_known_->until) {
        return;
    }
    const bool continues = is_continuous && registrations_known_;
    registrations_known_ = {continues ? registrations_known_->from : time, time};
    dispatcher_.on_registrations_known(*registrations_known_);
}

void fleet_state::on_store_restored(std::uint64_t era) {
    log_.line("store_restored")
        .number("era", static_cast<std::int64_t>(era))
        .number("era_before", static_cast<std::int64_t>(position_.era))
        .number("revision_before", static_cast<std::int64_t>(position_.revision))
        .number("catalogue_version", static_cast<std::int64_t>(catalogue_version()))
        .number("store_age_ms", store_age().count());
    ++store_restorations_;
    position_ = std::max(position_, serving::store_position{era, 0});
    registrations_.on_store_restored(clock_.now());
}

void fleet_state::on_store_watch_changed(bool watches) {
    log_.line("store_watch").flag("watches", watches).number("store_age_ms", store_age().count());
    listener_.on_store_watch_changed(watches);
}

void fleet_state::on_peer_registrations(const peering::registration_snapshot& snapshot,
                                        const std::string& peer) {
    if (snapshot.position < position_) {
        return; // another peer's snapshot was newer
    }
    const auto now = clock_.now();
    if (snapshot.position > position_) {
        log_learned(snapshot, peer);
    }
    if (has_registrations_ && snapshot.position.era > position_.era) {
        on_store_restored(snapshot.position.era);
    }
    position_ = snapshot.position;
    data_as_of_ = std::max(data_as_of_, now - snapshot.store_age);
    has_registrations_ = true;
    is_following_ = false;
    on_registrations_as_of(now - std::max(snapshot.store_age, snapshot.registrations_age), false);
    const auto [registered, awaited] = split_awaited(without_unusable(snapshot));
    if (snapshot.is_settled) {
        for (const auto& id : registrations_.on_settled_peer_list(registered, now)) {
            remove_server(id, "not_registered_at_peer");
        }
    } else {
        registrations_.on_peer_list(registered, now);
    }
    for (const auto& each : registered) {
        if (registrations_.is_valid(each)) {
            apply_peer_registration(each);
        }
    }
    for (const auto& each : awaited) {
        if (registrations_.on_awaited_by_peer(each, now)) {
            apply_peer_registration(each);
        }
    }
}

void fleet_state::log_learned(const peering::registration_snapshot& snapshot,
                              const std::string& peer) {
    log_.line("registrations_learned")
        .text("peer", peer)
        .number("backend_servers", static_cast<std::int64_t>(snapshot.servers.size()))
        .number("era", static_cast<std::int64_t>(snapshot.position.era))
        .number("revision", static_cast<std::int64_t>(snapshot.position.revision))
        .flag("settled", snapshot.is_settled)
        .number("peer_store_age_ms", snapshot.store_age.count())
        .number("store_age_ms", store_age().count());
}

peering::registration_snapshot
fleet_state::without_unusable(peering::registration_snapshot snapshot) {
    std::erase_if(snapshot.servers, [this](const auto& each) {
        const bool is_unusable = each.id.empty() || !is_address(each.address);
        if (is_unusable) {
            on_bad_record(each.id, "a peer's registration without id or address");
        }
        return is_unusable;
    });
    return snapshot;
}

void fleet_state::apply_peer_registration(const serving::backend_server& server) {
    const auto* known = dispatcher_.backends().find(server.id);
    // Draining is final for a process, so a record from a peer can't be newer.
    const bool has_left = known != nullptr && known->server.is_draining &&
                          known->server.started_at_ms == server.started_at_ms;
    if (!has_left) {
        apply_registration(server);
    }
}

void fleet_state::on_registration(const serving::backend_server& server) {
    if (registrations_.on_registration(server, clock_.now())) {
        apply_registration(server);
    }
}

void fleet_state::apply_registration(const serving::backend_server& server) {
    const auto* known = dispatcher_.backends().find(server.id);
    const bool is_change = known == nullptr || known->server.is_draining != server.is_draining ||
                           known->server.started_at_ms != server.started_at_ms;
    if (is_change) {
        log_.line("backend_server_registered")
            .text("backend_server", server.id)
            .text("service", server.service)
            .flag("draining", server.is_draining);
    }
    if (dispatcher_.on_registration(server, clock_.now())) {
        log_.line("server_cold")
            .text("backend_server", server.id)
            .number("cold_left_ms", server.cold_left.count())
            .decimal("limit_per_s", dispatcher_.cold().find(server.process())->requests_per_s);
    }
    if (is_change) {
        listener_.on_fleet_changed();
    }
}

void fleet_state::on_deregistration(const std::string& id) {
    if (registrations_.on_deregistration(id, clock_.now())) {
        remove_server(id, "deregistered");
    }
}

void fleet_state::remove_server(const std::string& id, const char* reason) {
    log_.line("backend_server_gone").text("backend_server", id).text("reason", reason);
    dispatcher_.backends().remove(id);
}

void fleet_state::on_contact(bool reachable) {
    registrations_.on_contact(reachable, clock_.now());
    dispatcher_.store_recovery().on_contact(reachable, clock_.now());
    if (reachable) {
        last_store_response_ = clock_.now();
        data_as_of_ = last_store_response_;
        has_store_response_ = true;
    }
    if (reachable != is_store_reachable_) {
        is_store_reachable_ = reachable;
        log_.line(reachable ? "store_regained" : "store_lost");
    }
}

duration fleet_state::store_age() const {
    return has_store_response_ ? clock_.now() - last_store_response_ : duration{-1};
}

duration fleet_state::data_age() const {
    return data_as_of_ == time_point{} ? duration{-1} : clock_.now() - data_as_of_;
}

void fleet_state::on_bad_record(const std::string& key, const std::string& reason) {
    log_.line("record_passed_over").text("key", key).text("reason", reason);
}

} // namespace camphorgrade::entry
