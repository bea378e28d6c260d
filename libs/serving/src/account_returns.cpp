#include <serving/account_limiter.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

charge_result account_limiter::charge(const account_charge& request, time_point now) {
    const auto found = buckets_.find(request.account);
    if (found == buckets_.end()) {
        return {true, false, false, {}};
    }
    remove_expired_peers(now);
    auto& target = found->second;
    refill(target, now);
    auto& schedule = schedules_.try_emplace(request.account, settings_.returns).first->second;
    schedule.remove_expired(now);
    // A request larger than the burst is admitted when the bucket is full.
    const double needed = std::min(request.cost, target.burst);
    const bool was_reserved = schedule.contains(request.fingerprint);
    schedule.on_demand(needed, request.urgency, now);
    const bool is_admitted = target.level >= needed &&
                             ((was_reserved && schedule.claim(request.fingerprint, now)) ||
                              schedule.try_admit({request.fingerprint, needed, request.urgency},
                                                 budget_of(request.account, target, now), now));
    if (!is_admitted) {
        return refuse(request, target, schedule, now);
    }
    return_counts_.served += was_reserved ? 1 : 0;
    charge_bucket(request.account, target, request.cost);
    return {true, was_reserved, false, {}};
}

charge_result account_limiter::refuse(const account_charge& request, const bucket& target,
                                      return_schedule& schedule, time_point now) {
    charge_result out;
    out.was_reserved = schedule.contains(request.fingerprint);
    return_counts_.refused_again += out.was_reserved ? 1 : 0;
    const double needed = std::min(request.cost, target.burst);
    const auto budget = budget_of(request.account, target, now);
    const budget_request wanted{request.fingerprint, needed, request.urgency};
    const auto due = schedule.reserve(wanted, budget, now + request.longest_wait, now);
    if (!due) {
        out.wait = schedule.available_at(wanted, budget, now) - now;
        return out;
    }
    out.is_reserved = true;
    ++return_counts_.reserved;
    out.wait = *due - now;
    unreported_reservations_.push_back({request.account,
                                        {request.fingerprint, *due, needed, request.urgency},
                                        settings_.reservation_reports});
    return out;
}

account_budget account_limiter::budget_of(const std::string& account, const bucket& target,
                                          time_point now) const {
    const auto active = std::count_if(peers_.begin(), peers_.end(), [&](const auto& each) {
        const auto found = each.second.admitted_at.find(account);
        return found != each.second.admitted_at.end() &&
               now - found->second < settings_.account_activity;
    });
    // Peers spend about as much as this gateway does.
    const auto own = unreported_.find(account);
    const auto own_unreported = own == unreported_.end() ? 0.0 : std::max(own->second, 0.0);
    return {target.level, target.burst, target.rate_per_s * usable_share(now),
            1.0 / static_cast<double>(active + 1), own_unreported * static_cast<double>(active)};
}

std::vector<account_reservation> account_limiter::next_reservations(time_point now) {
    std::vector<account_reservation> out;
    for (auto& each : unreported_reservations_) {
        if (out.size() >= settings_.max_reservations_per_report) {
            break;
        }
        --each.reports_left;
        const auto& reservation = each.reservation;
        if (reservation.due > now) {
            out.push_back({each.account, reservation.fingerprint, reservation.due - now,
                           reservation.cost, reservation.urgency});
        }
    }
    std::erase_if(unreported_reservations_, [&](const auto& each) {
        return each.reports_left == 0 || each.reservation.due <= now;
    });
    return out;
}

void account_limiter::on_peer_reservations(const std::vector<account_reservation>& reservations,
                                           time_point now) {
    for (const auto& each : reservations) {
        if (!settings_.schedules_returns || buckets_.count(each.account) == 0) {
            continue;
        }
        auto& schedule = schedules_.try_emplace(each.account, settings_.returns).first->second;
        schedule.add({each.fingerprint, now + each.due_in, each.cost, each.urgency}, now);
    }
}

std::size_t account_limiter::reservations() const {
    std::size_t count = 0;
    for (const auto& each : schedules_) {
        count += each.second.size();
    }
    return count;
}

} // namespace camphorgrade::serving
