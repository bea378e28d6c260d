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
    auto& known = statements_[server.id];
    const statement latest{server.started_at_ms, server.cold_left};
    if (known == latest) {
        return false;
    }
    const bool was_cold = cold_.count(server.process()) != 0;
    cold_.erase({server.id, known.started_at_ms});
    known = latest;
    if (server.cold_left <= duration::zero()) {
        return false;
    }
    cold_[server.process()] = {server.service, now, now + server.cold_left};
    return !was_cold && has_cold_rate(server.service);
}

std::vector<server_process> cold_servers::update(time_point now) {
    std::vector<server_process> ended;
    std::erase_if(cold_, [&](const auto& each) {
        const bool is_over = now >= each.second.ends;
        if (is_over) {
            ended.push_back(each.first);
        }
        return is_over;
    });
    return ended;
}

void cold_servers::erase_unknown(const std::function<bool(const std::string&)>& is_known) {
    std::erase_if(statements_, [&](const auto& each) { return !is_known(each.first); });
    std::erase_if(cold_, [&](const auto& each) { return !is_known(each.first.id); });
}

std::optional<request_limit> cold_servers::find(const server_process& server) const {
    const auto found = cold_.find(server);
    if (found == cold_.end()) {
        return std::nullopt;
    }
    const auto rate = rates_.find(found->second.service);
    if (rate == rates_.end()) {
        return std::nullopt;
    }
    return request_limit{rate->second, found->second.begins};
}

std::size_t cold_servers::size() const {
    return static_cast<std::size_t>(
        std::count_if(cold_.begin(), cold_.end(),
                      [this](const auto& each) { return has_cold_rate(each.second.service); }));
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
