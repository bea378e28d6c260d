#include <serving/account_limiter.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

return_schedule& account_limiter::schedule_of(const std::string& account) {
    return schedules_.try_emplace(account, settings_.returns).first->second;
}

charge_result account_limiter::charge(const account_charge& request, time_point now) {
    auto* target = refilled_bucket(request.account, now);
    if (target == nullptr) {
        return {true, false, {}};
    }
    auto& schedule = schedule_of(request.account);
    schedule.remove_expired(now);
    // A request larger than the burst is admitted when the bucket is full.
    const budget_request wanted{request.fingerprint, std::min(request.cost, target->burst),
                                request.urgency};
    const auto budget = budget_of(request.account, *target, now);
    const bool was_reserved = schedule.contains(wanted.fingerprint);
    schedule.on_demand(wanted.cost, wanted.urgency, now);
    const bool is_admitted = target->level >= wanted.cost &&
                             ((was_reserved && schedule.claim(wanted.fingerprint, now)) ||
                              schedule.try_admit(wanted, budget, now));
    if (!is_admitted) {
        return_counts_.refused_again += was_reserved ? 1 : 0;
        return schedule_return(request, wanted, budget, now);
    }
    return_counts_.served += was_reserved ? 1 : 0;
    charge_bucket(request.account, *target, request.cost);
    return {true, false, {}};
}

charge_result account_limiter::schedule_return(const account_charge& request,
                                               const budget_request& wanted,
                                               const account_budget& budget, time_point now) {
    auto& schedule = schedule_of(request.account);
    const auto due = schedule.reserve(wanted, budget, now + request.longest_wait, now);
    if (!due) {
        return {false, false, schedule.available_at(wanted, budget, now) - now};
    }
    ++return_counts_.reserved;
    unreported_reservations_.push_back({request.account,
                                        {wanted.fingerprint, *due, wanted.cost, wanted.urgency},
                                        settings_.reservation_reports});
    return {false, true, *due - now};
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
        schedule_of(each.account)
            .add({each.fingerprint, now + each.due_in, each.cost, each.urgency}, now);
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
