#include <placement/router.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorgrade::placement {

namespace {

constexpr std::size_t remembered_adapters = 4096;
constexpr double ms_per_s = 1000;
constexpr double utilisation_weight = 0.02;
constexpr double equal_load = 0.1;
constexpr double idle_load = 0.25;
constexpr duration shortest_retry_after{250};
constexpr int missed_reports = 3;

bool serves(const agent_status& status, const std::string& pool) {
    return status.pool == pool || std::ranges::find(status.services, pool) != status.services.end();
}

} // namespace

router::router(router_settings settings) : settings_(settings), asked_(remembered_adapters) {}

void router::on_report(const node_id& agent, agent_status status, duration within, time_point now) {
    view& seen = views_[agent];
    seen.agent = agent;
    seen.status = std::move(status);
    seen.received = now;
    seen.within = within;
    while (!seen.sent.empty() && seen.sent.front().at < now - settings_.report_lag) {
        seen.sent.pop_front();
    }
}

void router::forget(const node_id& agent) {
    views_.erase(agent);
}

void router::set_unavailable(std::set<node_id> agents) {
    unavailable_ = std::move(agents);
}

route router::choose(const route_request& request, time_point now, random_source& random) {
    const bool plain = request.adapter.name.empty();
    const std::uint64_t key = plain ? 0 : digest(request.adapter);
    if (!plain) {
        asked_.add(key, static_cast<double>(request.cost), now);
    }
    const candidates all = usable_for(request, key, now);
    if (all.empty()) {
        return route_refusal{route_refusal_reason::no_backend, settings_.suspect_after};
    }
    note_utilisation(all);
    const std::size_t wanted = plain ? all.size() : replicas(request.adapter, all.size(), now);
    const candidate* to = warm(all, request, key, wanted, random);
    if (to == nullptr && !plain) {
        to = cold(all, wanted);
    }
    if (to == nullptr) {
        to = last_resort(all, key);
    }
    if (to->wait >= settings_.refuse_wait) {
        return route_refusal{route_refusal_reason::overloaded,
                             std::max(shortest_retry_after, to->wait / 2)};
    }
    return send(*to, request, key, now);
}

std::size_t router::replicas(const adapter_ref& adapter, std::size_t agents, time_point now) const {
    const double total = asked_.total_rate(now);
    if (total <= 0) {
        return 1;
    }
    const double share = asked_.rate(digest(adapter), now) / total;
    const double busy_agents = static_cast<double>(agents) * utilisation_;
    const double needed = std::ceil(share * busy_agents / settings_.replica_utilisation);
    return std::clamp<std::size_t>(static_cast<std::size_t>(needed), 1,
                                   std::max<std::size_t>(1, agents));
}

std::size_t router::available(const std::string& pool, time_point now) const {
    route_request any;
    any.pool = pool;
    return static_cast<std::size_t>(std::ranges::count_if(
        views_, [&](const auto& each) { return usable(each.second, any, now); }));
}

bool router::is_ready(const node_id& agent, time_point now) const {
    const auto found = views_.find(agent);
    if (found == views_.end()) {
        return false;
    }
    const auto& status = found->second.status;
    const bool serves_any = !status.pool.empty() || !status.services.empty();
    return serves_any && staying(found->second, now);
}

std::size_t router::ready_agents(time_point now) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(views_, [&](const auto& each) { return is_ready(each.first, now); }));
}

bool router::staying(const view& each, time_point now) const {
    const duration patience = std::max(settings_.suspect_after, each.within * missed_reports);
    return !each.status.leaving && now - each.received <= patience &&
           !unavailable_.contains(each.agent);
}

bool router::usable(const view& each, const route_request& request, time_point now) const {
    const bool fits =
        serves(each.status, request.pool) &&
        (request.role.empty() || each.status.role.empty() || each.status.role == request.role);
    return fits && staying(each, now) &&
           std::ranges::find(request.excluded, each.agent) == request.excluded.end();
}

router::candidates router::usable_for(const route_request& request, std::uint64_t key,
                                      time_point now) {
    candidates all;
    for (auto& [agent, each] : views_) {
        if (!usable(each, request, now)) {
            continue;
        }
        const agent_status& status = each.status;
        std::uint64_t own_tokens = 0;
        for (const sent_request& sent : each.sent) {
            own_tokens += sent.cost;
        }
        const double seats = std::max<double>(1, status.running + status.free_seats);
        const double busy = status.running + static_cast<double>(each.sent.size());
        const double own_queued = busy > seats ? static_cast<double>(own_tokens) : 0;
        const double queued = static_cast<double>(status.short_tokens + status.long_tokens);
        const double seconds = (queued + own_queued) /
                               static_cast<double>(std::max<std::uint64_t>(1, status.tokens_per_s));
        all.push_back({&each, busy / seats + seconds,
                       duration{static_cast<std::int64_t>(seconds * ms_per_s)},
                       rendezvous_weight(key, agent.value())});
    }
    std::ranges::sort(all,
                      [](const candidate& a, const candidate& b) { return a.weight > b.weight; });
    return all;
}

bool router::has(const view& each, std::uint64_t key) const {
    return std::ranges::any_of(each.status.slots,
                               [&](const slot_status& s) { return s.adapter == key; }) ||
           std::ranges::any_of(each.sent, [&](const sent_request& s) { return s.adapter == key; });
}

bool router::overloaded(const candidate& each) const {
    return each.wait >= settings_.overload_wait;
}

const router::candidate* router::warm(const candidates& all, const route_request& request,
                                      std::uint64_t key, std::size_t wanted,
                                      random_source& random) const {
    std::vector<const candidate*> found;
    for (const candidate& each : all) {
        const bool holds = key == 0 || has(*each.to, key);
        if (holds && !overloaded(each)) {
            found.push_back(&each);
        }
    }
    // Replicas beyond those needed get nothing, so that their slots come free.
    found.resize(std::min(found.size(), wanted));
    return found.empty() ? nullptr : better_of_two(found, request, random);
}

const router::candidate* router::cold(const candidates& all, std::size_t wanted) const {
    double mean = 0;
    for (const candidate& each : all) {
        mean += each.load / static_cast<double>(all.size());
    }
    const double bound = mean * settings_.load_bound + idle_load;
    const candidate* best = nullptr;
    std::size_t seen = 0;
    for (const candidate& each : all) {
        const bool fits =
            !overloaded(each) && each.load <= bound && each.to->status.obtainable_slots > 0;
        if (fits &&
            (best == nullptr || (settings_.weigh_victims &&
                                 each.to->status.victim_worth < best->to->status.victim_worth))) {
            best = &each;
        }
        ++seen;
        const bool enough = seen >= wanted + settings_.spare_candidates;
        if (best != nullptr && (enough || !settings_.weigh_victims)) {
            break;
        }
    }
    return best;
}

const router::candidate* router::last_resort(const candidates& all, std::uint64_t key) const {
    const auto rank = [&](const candidate& each) {
        return std::pair(each.wait, key != 0 && !has(*each.to, key));
    };
    return &*std::ranges::min_element(
        all, [&](const candidate& a, const candidate& b) { return rank(a) < rank(b); });
}

const router::candidate* router::better_of_two(const std::vector<const candidate*>& from,
                                               const route_request& request,
                                               random_source& random) const {
    const candidate* first = from[random.below(from.size())];
    if (request.affinity != 0) {
        first = *std::ranges::max_element(from, {}, [&](const candidate* each) {
            return rendezvous_weight(request.affinity, each->to->agent.value());
        });
    }
    const candidate* second = from[random.below(from.size())];
    const double difference = second->load - first->load;
    if (std::abs(difference) >= equal_load) {
        return difference < 0 ? second : first;
    }
    const bool second_near = second->to->status.data_centre == request.data_centre;
    const bool first_near = first->to->status.data_centre == request.data_centre;
    return second_near && !first_near && request.affinity == 0 ? second : first;
}

void router::note_utilisation(const candidates& all) {
    double busy = 0;
    for (const candidate& each : all) {
        busy += std::min(1.0, each.load) / static_cast<double>(all.size());
    }
    utilisation_ += (busy - utilisation_) * utilisation_weight;
}

route router::send(const candidate& to, const route_request& request, std::uint64_t key,
                   time_point now) {
    to.to->sent.push_back({now, request.cost, key});
    return to.to->agent;
}

} // namespace camphorgrade::placement
