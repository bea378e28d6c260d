#include <serving/cold_servers.h>

#include <algorithm>

namespace camphorgrade::serving {

void cold_servers::set_catalogue(const service_catalogue& catalogue) {
    rates_.clear();
    for (const auto& each : catalogue.services) {
        if (each.cold_rate_per_s > 0) {
            rates_[each.name] = each.cold_rate_per_s;
        }
    }
}

bool cold_servers::on_registration(const backend_server& server, time_point now) {
    const auto [found, is_new] = processes_.try_emplace(server.id);
    auto& known = found->second;
    const bool is_other_process = is_new || known.started_at_ms != server.started_at_ms;
    if (!is_other_process && known.stated == server.cold_left) {
        return false;
    }
    const bool was_cold = !is_other_process && known.cold_until.has_value();
    known = {server.started_at_ms, server.service, server.cold_left, now, std::nullopt};
    if (server.cold_left > duration::zero()) {
        known.cold_until = now + server.cold_left;
    }
    return known.cold_until && !was_cold && has_cold_rate(server.service);
}

std::vector<server_process> cold_servers::update(time_point now) {
    std::vector<server_process> ended;
    for (auto& [id, each] : processes_) {
        if (each.cold_until && now >= *each.cold_until) {
            each.cold_until.reset();
            ended.push_back({id, each.started_at_ms});
        }
    }
    return ended;
}

void cold_servers::erase_unknown(const std::function<bool(const std::string&)>& is_known) {
    std::erase_if(processes_, [&](const auto& each) { return !is_known(each.first); });
}

std::optional<request_limit> cold_servers::find(const server_process& server) const {
    const auto found = processes_.find(server.id);
    const bool is_cold = found != processes_.end() && found->second.cold_until &&
                         found->second.started_at_ms == server.started_at_ms;
    if (!is_cold) {
        return std::nullopt;
    }
    const auto rate = rates_.find(found->second.service);
    if (rate == rates_.end()) {
        return std::nullopt;
    }
    return request_limit{rate->second, found->second.registered_at};
}

std::size_t cold_servers::size() const {
    return static_cast<std::size_t>(
        std::count_if(processes_.begin(), processes_.end(), [this](const auto& each) {
            return each.second.cold_until && has_cold_rate(each.second.service);
        }));
}

std::optional<request_limit> effective_limits::find(const server_process& server) const {
    const auto first = first_.find(server);
    const auto second = second_.find(server);
    if (!first || !second) {
        return first ? first : second;
    }
    return first->requests_per_s <= second->requests_per_s ? first : second;
}

} // namespace camphorgrade::serving
