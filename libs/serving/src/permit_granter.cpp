#include <serving/permit_granter.h>

#include <kernel/check.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorgrade::serving {

namespace {

constexpr double ms_per_s = 1'000.0;
constexpr duration max_wait{3'600'000};
// Accrued fractions add up to a whole permit in spite of rounding.
constexpr double rounding_tolerance = 1e-9;

} // namespace

double permit_granter::rate_of(const bucket& target) const {
    const auto rate =
        std::clamp(target.limit_per_s, settings_.min_rate_per_s, settings_.max_rate_per_s);
    return rate * settings_.usable_share * fleet_share_;
}

void permit_granter::refill(bucket& target, time_point now) const {
    if (now <= target.refilled_at) {
        return;
    }
    const auto seconds = static_cast<double>((now - target.refilled_at).count()) / ms_per_s;
    target.level += rate_of(target) * seconds;
    target.refilled_at = now;
    if (fleet_share_ < 1) {
        target.level = std::fmod(target.level, lapse_level(target));
    } else {
        target.level = std::min(target.level, capacity_of(target));
    }
}

double permit_granter::capacity_of(const bucket& target) const {
    const auto bucket_seconds = static_cast<double>(settings_.bucket_time.count()) / ms_per_s;
    return std::max(1.0, rate_of(target) * bucket_seconds);
}

double permit_granter::lapse_level(const bucket& target) const {
    // The share that accrues in the time in which the whole limit yields one permit.
    return capacity_of(target) + fleet_share_;
}

duration permit_granter::time_until(const bucket& target, double permits, time_point now) const {
    const auto missing = std::max(0.0, permits - target.level);
    const auto ms = std::min(std::ceil(missing / rate_of(target) * ms_per_s),
                             static_cast<double>(max_wait.count()));
    const auto accrual = duration{static_cast<duration::rep>(ms)};
    return std::max(target.refilled_at - now, duration::zero()) + accrual;
}

void permit_granter::set_queued(std::deque<std::string>& queue, const std::string& gateway,
                                std::uint32_t& count, std::uint64_t wanted) {
    for (; count < wanted; ++count) {
        queue.push_back(gateway);
    }
    for (; count > wanted; --count) {
        const auto last = std::find(queue.rbegin(), queue.rend(), gateway);
        queue.erase(std::next(last).base());
    }
}

void permit_granter::clear_queued(bucket& target, const std::string& gateway, applicant& owner) {
    set_queued(target.queue, gateway, owner.queued, 0);
    set_queued(target.spare_queue, gateway, owner.queued_spare, 0);
}

permit_granter::applicant& permit_granter::take_next(bucket& target) {
    const bool is_spare = target.queue.empty();
    auto& queue = is_spare ? target.spare_queue : target.queue;
    auto& receiver = target.applicants.at(queue.front());
    queue.pop_front();
    --(is_spare ? receiver.queued_spare : receiver.queued);
    return receiver;
}

void permit_granter::on_request(const std::string& gateway, const permit_request& request,
                                time_point grants_from, time_point now) {
    const auto [found, is_new] = buckets_.try_emplace(request.server);
    auto& target = found->second;
    if (is_new) {
        target.limit_per_s = request.limit_per_s;
        target.level = fleet_share_ < 1 ? phase_ : 0;
        target.refilled_at = std::max(now, grants_from);
    }
    target.requested_at = now;
    auto& sender = target.applicants[gateway];
    if (request.session < sender.session) {
        return;
    }
    if (request.session > sender.session) {
        clear_queued(target, gateway, sender);
        sender.session = request.session;
        sender.granted = 0;
    }
    // This granter may have restarted and lost its count.
    sender.granted = std::max(sender.granted, request.received);
    const auto under_way = sender.granted - request.received;
    const auto for_waiting = std::min<std::uint64_t>(under_way, request.wanted);
    const auto for_spare = std::min<std::uint64_t>(under_way - for_waiting, request.spare);
    set_queued(target.queue, gateway, sender.queued, request.wanted - for_waiting);
    set_queued(target.spare_queue, gateway, sender.queued_spare, request.spare - for_spare);
    sender.requested_at = now;
    sender.is_reply_due = true;
}

void permit_granter::set_limit(const server_process& server, double limit_per_s, time_point now) {
    const auto found = buckets_.find(server);
    if (found != buckets_.end() && found->second.limit_per_s != limit_per_s) {
        refill(found->second, now);
        found->second.limit_per_s = limit_per_s;
        // Permits that accrued at a higher limit don't outlast it.
        found->second.level = std::min(found->second.level, 1.0);
    }
}

void permit_granter::set_fleet_share(double share, time_point now) {
    CAMPHOR_PRECONDITION(share > 0 && share <= 1);
    for (auto& each : buckets_) {
        refill(each.second, now);
    }
    fleet_share_ = share;
}

void permit_granter::remove_expired(bucket& target, time_point now) const {
    for (auto& [gateway, each] : target.applicants) {
        if (now - each.requested_at >= settings_.request_expiry) {
            clear_queued(target, gateway, each);
        }
    }
    std::erase_if(target.applicants, [&](const auto& each) {
        return now - each.second.requested_at >= settings_.request_expiry;
    });
}

std::vector<addressed_grant> permit_granter::advance(time_point now) {
    std::vector<addressed_grant> out;
    std::erase_if(buckets_, [&](const auto& each) {
        return now - each.second.requested_at >= settings_.bucket_expiry;
    });
    for (auto& [server, target] : buckets_) {
        remove_expired(target, now);
        refill(target, now);
        while (is_wanted(target) && target.level >= 1 - rounding_tolerance) {
            auto& receiver = take_next(target);
            target.level = std::min(target.level, capacity_of(target)) - 1;
            ++granted_permits_;
            ++receiver.granted;
            receiver.is_reply_due = true;
        }
        const auto next_wait =
            time_until(target, static_cast<double>(target.queue.size()) + 1, now);
        for (auto& [gateway, each] : target.applicants) {
            if (std::exchange(each.is_reply_due, false)) {
                const auto first = std::find(target.queue.begin(), target.queue.end(), gateway);
                const auto position = static_cast<double>(first - target.queue.begin());
                const auto first_wait = time_until(target, position + 1, now);
                out.push_back(
                    {gateway, {server, each.session, each.granted, first_wait, next_wait}});
            }
        }
    }
    return out;
}

std::optional<time_point> permit_granter::next_grant_at() const {
    std::optional<time_point> earliest;
    for (const auto& each : buckets_) {
        const auto& target = each.second;
        if (is_wanted(target)) {
            const auto at = target.refilled_at + time_until(target, 1, target.refilled_at);
            earliest = std::min(earliest.value_or(at), at);
        }
    }
    return earliest;
}

std::vector<server_process> permit_granter::servers() const {
    std::vector<server_process> out;
    for (const auto& each : buckets_) {
        out.push_back(each.first);
    }
    return out;
}

} // namespace camphorgrade::serving
