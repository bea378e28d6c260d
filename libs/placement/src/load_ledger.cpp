#include <placement/load_ledger.h>

#include <kernel/check.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorgrade::placement {

namespace {

constexpr double ms_per_s = 1000;
constexpr duration quiet_before_prefetch{1000};
constexpr duration want_life{2000};
constexpr duration grant_life{3000};
constexpr duration account_memory{60000};
constexpr double account_window_s = 30;
/** An account may have this much more than its even share before its loads are set back. */
constexpr double tolerated_share = 1.25;

std::uint64_t account_key(const std::string& client_account) {
    return digest({client_account, ""});
}

} // namespace

load_ledger::load_ledger(store_limit limit, time_point now, std::uint64_t first_grant)
    : limit_(limit), last_demand_(now), next_grant_id_(first_grant) {
    CAMPHOR_PRECONDITION(limit.loads_per_s > 0);
    CAMPHOR_PRECONDITION(limit.parallel > 0);
    next_grant_ = now + interval();
}

void load_ledger::ask(const node_id& agent, std::vector<load_want> wants, time_point now) {
    if (wants.empty()) {
        asked_.erase(agent);
        return;
    }
    asked_[agent] = {std::move(wants), now};
}

void load_ledger::finished(const node_id& agent, std::uint64_t grant, time_point /*now*/) {
    const auto found = in_flight_.find(grant);
    if (found != in_flight_.end() && found->second.agent == agent) {
        in_flight_.erase(found);
    }
}

std::vector<granted_load> load_ledger::grants(time_point now) {
    forget_lapsed(now);
    std::vector<granted_load> given;
    while (now >= next_grant_ && in_flight_.size() < limit_.parallel) {
        const auto chosen = most_urgent(now);
        if (!chosen) {
            break;
        }
        auto& wants = chosen->agent->second.wants;
        const auto taken = wants.begin() + static_cast<std::ptrdiff_t>(chosen->index);
        given.push_back({next_grant_id_, chosen->agent->first, taken->adapter});
        in_flight_.emplace(next_grant_id_++, flight{chosen->agent->first, now + grant_life});
        note_given(taken->client_account, now);
        wants.erase(taken);
        next_grant_ = std::max(next_grant_, now - interval()) + interval();
    }
    return given;
}

std::optional<time_point> load_ledger::next_due(time_point now) const {
    if (asked_.empty()) {
        return std::nullopt;
    }
    time_point due = std::max(next_grant_, now + duration{1});
    if (in_flight_.size() >= limit_.parallel) {
        time_point freed = time_point::max();
        for (const auto& [grant, each] : in_flight_) {
            freed = std::min(freed, each.expires);
        }
        due = std::max(due, freed);
    }
    return due;
}

std::optional<load_ledger::candidate> load_ledger::most_urgent(time_point now) {
    std::optional<candidate> best;
    duration best_urgency{};
    for (auto agent = asked_.begin(); agent != asked_.end(); ++agent) {
        const duration waited = now - agent->second.at;
        for (std::size_t i = 0; i < agent->second.wants.size(); ++i) {
            const load_want& each = agent->second.wants[i];
            const duration urgency =
                each.prefetch ? duration::min()
                              : each.urgency + waited - setback(each.client_account, now);
            if (!best || urgency > best_urgency) {
                best = candidate{agent, i};
                best_urgency = urgency;
            }
        }
    }
    if (!best) {
        return std::nullopt;
    }
    if (best_urgency > duration::min()) {
        last_demand_ = now;
        return best;
    }
    return prefetch_allowed(now) ? best : std::nullopt;
}

void load_ledger::note_given(const std::string& client_account, time_point now) {
    given_.add(account_key(client_account), 1, now);
    accounts_[client_account] = now;
    std::erase_if(accounts_, [&](const auto& each) { return now - each.second >= account_memory; });
}

duration load_ledger::setback(const std::string& client_account, time_point now) const {
    const double even = tolerated_share * given_.total_rate(now) /
                        static_cast<double>(std::max<std::size_t>(1, accounts_.size()));
    const double ahead = given_.rate(account_key(client_account), now) - even;
    const double loads = std::max(0.0, ahead) * account_window_s;
    return duration{
        static_cast<std::int64_t>(loads * static_cast<double>(limit_.per_load_ahead.count()))};
}

bool load_ledger::prefetch_allowed(time_point now) const {
    return now - last_demand_ >= quiet_before_prefetch && in_flight_.size() < limit_.parallel / 2;
}

duration load_ledger::interval() const {
    return duration{static_cast<std::int64_t>(std::ceil(ms_per_s / limit_.loads_per_s))};
}

void load_ledger::forget_lapsed(time_point now) {
    std::erase_if(asked_, [&](const auto& each) {
        return each.second.wants.empty() || now - each.second.at >= want_life;
    });
    std::erase_if(in_flight_, [&](const auto& each) { return each.second.expires <= now; });
}

} // namespace camphorgrade::placement
