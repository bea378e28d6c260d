#include <serving/dispatcher.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

namespace {

/** The streaming routes with what decides which service a stream begins at. */
std::vector<route> streaming_routes(const service_catalogue& catalogue) {
    std::vector<route> out;
    for (const auto& each : catalogue.routes) {
        if (each.kind == request_kind::streaming) {
            route kept;
            kept.host = each.host;
            kept.path_prefix = each.path_prefix;
            kept.kind = each.kind;
            kept.services = each.services;
            out.push_back(std::move(kept));
        }
    }
    return out;
}

bool has_resumable_routes(const service_catalogue& catalogue) {
    return std::any_of(catalogue.routes.begin(), catalogue.routes.end(),
                       [](const route& each) { return each.is_resumable; });
}

} // namespace

bool dispatcher::knows_past(time_point now) {
    if (!catalogue_ || !has_resumable_routes(catalogue_->catalogue())) {
        return true;
    }
    observe_software_when_due(now);
    return software_.is_known_since(now - settings_.software.memory);
}

std::optional<fleet_checkpoint> dispatcher::checkpoint(const store_position& position,
                                                       time_point now) {
    if (!catalogue_ || !registrations_known_ || !has_resumable_routes(catalogue_->catalogue())) {
        return std::nullopt;
    }
    observe_software(now);
    const auto known = software_.known(now);
    const auto registrations_age = now - registrations_known_->until;
    if (!known || known->until_age > registrations_age || known->from_age <= registrations_age) {
        return std::nullopt; // the past isn't known up to the position
    }
    const auto age_then = [&](duration age) {
        return std::max(age - registrations_age, duration::zero());
    };
    fleet_checkpoint out;
    out.position = position;
    out.reach = known->from_age - registrations_age;
    out.software = software_.history(now).records;
    for (auto& each : out.software) {
        each.age = age_then(each.age);
    }
    out.routes = streaming_routes(catalogue_->catalogue());
    out.route_changes = routes_.changes(now);
    for (auto& each : out.route_changes) {
        each.age = age_then(each.age);
    }
    return out;
}

void dispatcher::on_history_recovered(const recovered_history& history, time_point now) {
    std::vector<software_record> software;
    for (const auto& each : history.changes.registrations) {
        software.push_back({each.service, each.software_version, duration::zero()});
    }
    auto reach = settings_.software.memory;
    std::unique_ptr<catalogue_index> before;
    if (history.checkpoint) {
        const auto& known = *history.checkpoint;
        software.insert(software.end(), known.software.begin(), known.software.end());
        reach = std::min(reach, known.reach);
        service_catalogue routes;
        routes.routes = known.routes;
        before = std::make_unique<catalogue_index>(std::move(routes));
    }
    for (const auto& each : history.changes.catalogues) {
        routes_.on_catalogue(before.get(), each, now);
        before = std::make_unique<catalogue_index>(each);
    }
    if (catalogue_) {
        routes_.on_catalogue(before.get(), catalogue_->catalogue(), now);
        if (history.checkpoint) {
            routes_.learn(history.checkpoint->route_changes, catalogue_->catalogue(), now);
        }
    }
    software_.recover(software, reach, history.read_at);
    continue_resolved_streams(now);
}

} // namespace camphorgrade::serving
