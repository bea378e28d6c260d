#include <serving/route_history.h>

#include <algorithm>

namespace camphorgrade::serving {

void route_history::on_catalogue(const catalogue_index* before, const service_catalogue& after,
                                 time_point now) {
    forget_old(now);
    for (const auto& each : after.routes) {
        const auto* previous =
            before != nullptr ? before->find_route(each.host, each.path_prefix) : nullptr;
        const bool is_changed = previous != nullptr && previous->services != each.services;
        if (is_changed) {
            rerouted_at_[{each.host, each.path_prefix}] = now;
            share(*previous, now);
        }
        if (is_changed || each.services.size() > 1) {
            share(each, now);
        }
    }
}

void route_history::learn(const std::vector<route_change>& changes,
                          const service_catalogue& present, time_point now) {
    for (const auto& change : changes) {
        const auto at = now - change.age;
        auto& known = rerouted_at_.try_emplace({change.host, change.path_prefix}, at).first->second;
        known = std::max(known, at);
        for (const auto& each : present.routes) {
            if (each.host == change.host && each.path_prefix == change.path_prefix) {
                share(each, at);
            }
        }
    }
}

void route_history::share(const route& each, time_point at) {
    for (const auto& part : each.services) {
        auto& known = shared_at_.try_emplace(part.service, at).first->second;
        known = std::max(known, at);
    }
}

void route_history::forget_old(time_point now) {
    const auto is_old = [&](const auto& each) { return now - each.second >= memory_; };
    std::erase_if(rerouted_at_, is_old);
    std::erase_if(shared_at_, is_old);
}

bool route_history::was_rerouted(const route& matched, time_point since) const {
    const auto found = rerouted_at_.find({matched.host, matched.path_prefix});
    return found != rerouted_at_.end() && found->second >= since;
}

std::set<std::string> route_history::shared_services() const {
    std::set<std::string> out;
    for (const auto& each : shared_at_) {
        out.insert(each.first);
    }
    return out;
}

std::vector<route_change> route_history::changes(time_point now) const {
    std::vector<route_change> out;
    for (const auto& [name, at] : rerouted_at_) {
        out.push_back({name.first, name.second, now - at});
    }
    return out;
}

} // namespace camphorgrade::serving
