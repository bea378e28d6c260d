#include <serving/permit_exchange.h>

#include "hash_rank.h"

#include <kernel/check.h>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

namespace {

// Time between two calls of advance() while permits are wanted.
constexpr duration advance_interval{50};

std::uint64_t rendezvous_hash(const server_process& server, const std::string& gateway) {
    const auto seed = XXH64(server.id.data(), server.id.size(), server.started_at_ms);
    return XXH64(gateway.data(), gateway.size(), seed);
}

} // namespace

permit_exchange::permit_exchange(const limit_source& limits, permit_exchange_settings settings)
    : limits_(limits), settings_(settings), granter_(settings.granter),
      holder_(settings.holder), live_{std::string{}} {}

void permit_exchange::set_gateways(const std::string& own, const std::vector<std::string>& live,
                                   time_point now) {
    own_ = own;
    granter_.set_phase(hash_unit(own, 0));
    update_fleet_share(live, now);
    if (live == live_) {
        return;
    }
    live_ = live;
    grants_from_ = now + settings_.takeover_delay;
    for (auto& [server, granter] : granters_) {
        auto next = granter_of(server);
        if (next != granter) {
            granter = std::move(next);
            holder_.begin_session(server, now);
        }
    }
    for (const auto& each : granter_.servers()) {
        if (granter_of(each) != own_) {
            granter_.erase(each);
        }
    }
}

void permit_exchange::update_fleet_share(const std::vector<std::string>& live, time_point now) {
    last_live_.add(live, now);
    last_live_.remove_expired(now);
    granter_.set_fleet_share(
        static_cast<double>(live.size()) / static_cast<double>(last_live_.size()), now);
}

std::string permit_exchange::granter_of(const server_process& server) const {
    const auto ranks_before = [&](const std::string& a, const std::string& b) {
        return rendezvous_hash(server, a) > rendezvous_hash(server, b);
    };
    const auto first = std::min_element(live_.begin(), live_.end(), ranks_before);
    return first == live_.end() ? own_ : *first;
}

std::optional<duration> permit_exchange::wait_for(const server_process& server,
                                                  std::optional<std::uint32_t> position,
                                                  time_point now) const {
    const auto limit = limits_.find(server);
    if (!limit || holder_.has_permit(server, now)) {
        return std::nullopt;
    }
    return holder_.estimated_wait(server, limit->requests_per_s, position, now);
}

void permit_exchange::take(const server_process& server, time_point now) {
    if (limits_.find(server)) {
        holder_.take(server, now);
    }
}

void permit_exchange::on_interest(const server_process& server, time_point now) {
    holder_.on_interest(server, now);
}

void permit_exchange::on_limit_changed(const server_process& server, time_point now) {
    const auto limit = limits_.find(server);
    if (limit) {
        granter_.set_limit(server, limit->requests_per_s, now);
        holder_.discard_permits(server);
    }
}

void permit_exchange::apply_request(const std::string& gateway, const permit_request& request,
                                    time_point now) {
    granter_.on_request(gateway, request, grants_from_, now);
    if (const auto limit = limits_.find(request.server)) {
        granter_.set_limit(request.server, limit->requests_per_s, now);
    }
}

bool permit_exchange::apply_grant(const permit_grant& grant, time_point now) {
    const auto limit = limits_.find(grant.server);
    if (!limit) {
        return false;
    }
    holder_.on_grant(grant, limit->requests_per_s, now);
    return true;
}

void permit_exchange::on_requests(const std::string& gateway, const permit_requests& requests,
                                  time_point now) {
    for (const auto& each : requests.requests) {
        if (granter_of(each.server) == own_) {
            apply_request(gateway, each, now);
        }
    }
}

std::vector<server_process> permit_exchange::on_grants(const std::string& granter,
                                                       const permit_grants& grants,
                                                       time_point now) {
    std::vector<server_process> replied;
    for (const auto& each : grants.grants) {
        const auto known = granters_.find(each.server);
        const bool is_granter = known != granters_.end() && known->second == granter;
        if (is_granter && apply_grant(each, now)) {
            replied.push_back(each.server);
        }
    }
    return replied;
}

void permit_exchange::erase_unlimited_servers() {
    for (const auto& each : holder_.servers()) {
        if (!limits_.find(each)) {
            holder_.erase(each);
            granters_.erase(each);
        }
    }
}

std::vector<permit_message> permit_exchange::advance(const permit_demand& demand,
                                                     std::vector<server_process>& replied,
                                                     time_point now) {
    erase_unlimited_servers();
    for (const auto& each : holder_.servers()) {
        holder_.set_waiting(each, 0);
    }
    for (const auto& [server, waiting] : demand) {
        holder_.set_waiting(server, waiting);
    }
    std::map<std::string, permit_requests> requests;
    for (const auto& server : holder_.servers()) {
        const auto limit = limits_.find(server);
        const auto [granter, is_new] = granters_.try_emplace(server);
        if (is_new) {
            granter->second = granter_of(server);
            holder_.begin_session(server, now);
        }
        const auto request =
            limit ? holder_.next_request(server, limit->requests_per_s, now) : std::nullopt;
        if (request && granter->second == own_) {
            apply_request(own_, *request, now);
        } else if (request) {
            requests[granter->second].requests.push_back(*request);
        }
    }
    std::map<std::string, permit_grants> grants;
    for (auto& each : granter_.advance(now)) {
        if (each.to != own_) {
            grants[each.to].grants.push_back(std::move(each.grant));
        } else if (apply_grant(each.grant, now)) {
            replied.push_back(each.grant.server);
        }
    }
    std::vector<permit_message> out;
    out.reserve(requests.size() + grants.size());
    for (auto& [to, body] : requests) {
        out.push_back({to, std::move(body)});
    }
    for (auto& [to, body] : grants) {
        out.push_back({to, std::move(body)});
    }
    return out;
}

std::optional<time_point> permit_exchange::next_advance_at(time_point now) const {
    auto next = granter_.next_grant_at();
    if (holder_.wants_permits(now)) {
        next = std::min(next.value_or(now + advance_interval), now + advance_interval);
    }
    return next ? std::optional(std::max(*next, now)) : std::nullopt;
}

} // namespace camphorgrade::serving
