#include "fleet_knowledge.h"

#include <serving/store_contacts.h>

#include <utility>

namespace camphorgrade::entry {

fleet_knowledge::fleet_knowledge(const clock& clock, event_log& log,
                                 serving::dispatcher& dispatcher,
                                 const serving::catalogue_reader& reader, fleet_news& news)
    : clock_(clock), log_(log), dispatcher_(dispatcher), reader_(reader), news_(news),
      registrations_({}) {}

bool fleet_knowledge::is_complete() const {
    return dispatcher_.catalogue() != nullptr && has_registrations_;
}

void fleet_knowledge::expire() {
    for (const auto& id : registrations_.expire(clock_.now())) {
        remove(id, "not_registered_again");
    }
}

void fleet_knowledge::on_catalogue(serving::service_catalogue catalogue, const std::string& text) {
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
    news_.on_caller_limits(limits);
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
    news_.on_fleet_changed();
}

void fleet_knowledge::on_peer_catalogue(const std::string& text) {
    if (auto catalogue = reader_.read(text)) {
        on_catalogue(std::move(*catalogue), text);
    } else {
        on_bad_record("catalogue of a peer", "unreadable");
    }
}

void fleet_knowledge::on_adapter_version(const std::string& weights, std::uint64_t version) {
    log_.line("adapter_version")
        .text("weights", weights)
        .number("version", static_cast<std::int64_t>(version));
    dispatcher_.set_adapter_version(weights, version);
}

void fleet_knowledge::on_registrations(const std::vector<serving::backend_server>& servers) {
    has_registrations_ = true;
    for (const auto& id : registrations_.on_all(servers, clock_.now())) {
        remove(id, "not_registered");
    }
    for (const auto& each : servers) {
        apply(each);
    }
}

bool fleet_knowledge::is_in_touch() const {
    return is_store_reachable_ && has_registrations_ &&
           serving::store_contacts_settings{}.is_in_touch(store_age());
}

std::vector<serving::backend_server> fleet_knowledge::registered() const {
    std::vector<serving::backend_server> out;
    for (const auto& [id, view] : dispatcher_.board().all()) {
        if (!view.is_gone) {
            out.push_back(view.server);
        }
    }
    return out;
}

void fleet_knowledge::on_peer_registrations(const std::vector<serving::backend_server>& servers,
                                            const std::string& peer) {
    log_.line("registrations_learned")
        .text("peer", peer)
        .number("backend_servers", static_cast<std::int64_t>(servers.size()))
        .number("store_age_ms", store_age().count());
    has_registrations_ = true;
    registrations_.on_relayed(servers, clock_.now());
    for (const auto& each : servers) {
        const auto* known = dispatcher_.board().find(each.id);
        const bool has_left =
            known != nullptr && known->server.is_draining && known->server.born == each.born;
        if (!has_left) {
            apply(each); // a server that leaves doesn't return: the peer's view is older
        }
    }
}

void fleet_knowledge::on_registration(const serving::backend_server& server) {
    registrations_.on_registration(server.id);
    apply(server);
}

void fleet_knowledge::apply(const serving::backend_server& server) {
    const auto* known = dispatcher_.board().find(server.id);
    const bool is_news = known == nullptr || known->server.is_draining != server.is_draining ||
                         known->server.born != server.born;
    if (is_news) {
        log_.line("backend_server_registered")
            .text("backend_server", server.id)
            .text("service", server.service)
            .flag("draining", server.is_draining);
    }
    dispatcher_.board().put(server);
    if (is_news) {
        news_.on_fleet_changed();
    }
}

void fleet_knowledge::on_deregistration(const std::string& id) {
    if (registrations_.on_deregistration(id, clock_.now())) {
        remove(id, "deregistered");
    }
}

void fleet_knowledge::remove(const std::string& id, const char* reason) {
    log_.line("backend_server_gone").text("backend_server", id).text("reason", reason);
    dispatcher_.board().remove(id);
}

void fleet_knowledge::on_contact(bool reachable) {
    registrations_.on_contact(reachable, clock_.now());
    dispatcher_.outlook().on_contact(reachable, clock_.now());
    if (reachable) {
        last_store_answer_ = clock_.now();
        has_store_answer_ = true;
    }
    if (reachable != is_store_reachable_) {
        is_store_reachable_ = reachable;
        log_.line(reachable ? "store_regained" : "store_lost");
    }
}

duration fleet_knowledge::store_age() const {
    return has_store_answer_ ? clock_.now() - last_store_answer_ : duration{-1};
}

void fleet_knowledge::on_bad_record(const std::string& key, const std::string& reason) {
    log_.line("record_passed_over").text("key", key).text("reason", reason);
}

} // namespace camphorgrade::entry
