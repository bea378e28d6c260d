#include <serving/permit_holder.h>

#include <kernel/check.h>

#include <algorithm>
#include <cmath>

namespace camphorgrade::serving {

namespace {

constexpr double ms_per_s = 1'000.0;
constexpr duration max_accrual_time{60'000};
constexpr duration min_wait{1};
constexpr std::uint64_t max_permits_per_grant = 1'000;

/** Time in which one permit accrues. */
duration accrual_time(double limit_per_s) {
    const double longest = static_cast<double>(max_accrual_time.count());
    const double ms = limit_per_s * longest < ms_per_s ? longest : ms_per_s / limit_per_s;
    return duration{static_cast<duration::rep>(std::ceil(ms))};
}

} // namespace

std::uint32_t permit_holder::available(const stock& target, time_point now) {
    return static_cast<std::uint32_t>(std::count_if(target.expiries.begin(), target.expiries.end(),
                                                    [&](time_point each) { return each > now; }));
}

std::uint32_t permit_holder::wanted(const stock& target, time_point now) {
    return target.waiting - std::min(target.waiting, available(target, now));
}

std::uint32_t permit_holder::wanted_spare(const stock& target, time_point now) {
    const bool is_used_up = available(target, now) <= target.waiting;
    return target.interest_until > now && is_used_up ? 1 : 0;
}

bool permit_holder::has_permit(const server_process& server, time_point now) const {
    const auto found = stocks_.find(server);
    return found != stocks_.end() && available(found->second, now) > 0;
}

void permit_holder::take(const server_process& server, time_point now) {
    auto& expiries = stocks_[server].expiries;
    while (!expiries.empty() && expiries.front() <= now) {
        expiries.pop_front();
    }
    CAMPHOR_PRECONDITION(!expiries.empty());
    expiries.pop_front();
}

void permit_holder::set_waiting(const server_process& server, std::uint32_t waiting) {
    const auto found = stocks_.find(server);
    if (found != stocks_.end()) {
        found->second.waiting = waiting;
    } else if (waiting > 0) {
        stocks_[server].waiting = waiting;
    }
}

void permit_holder::on_interest(const server_process& server, time_point now) {
    stocks_[server].interest_until = now + settings_.interest_duration;
}

bool permit_holder::on_grant(const permit_grant& grant, double limit_per_s, time_point now) {
    const auto found = stocks_.find(grant.server);
    if (found == stocks_.end() || grant.session != found->second.session) {
        return false;
    }
    auto& target = found->second;
    target.replied_at = now;
    target.unanswered_since = {};
    target.first_wait = grant.first_wait;
    target.next_wait = grant.next_wait;
    target.waiting_at_reply = target.waiting;
    if (grant.granted <= target.received) {
        return false;
    }
    const auto lifetime = std::clamp(accrual_time(limit_per_s), settings_.min_permit_lifetime,
                                     settings_.max_permit_lifetime);
    const auto arrived = std::min(grant.granted - target.received, max_permits_per_grant);
    target.expiries.insert(target.expiries.end(), arrived, now + lifetime);
    target.received = grant.granted;
    if (available(target, now) > target.waiting) {
        target.interest_until = {};
    }
    return true;
}

void permit_holder::begin_session(const server_process& server, time_point now) {
    auto& target = stocks_[server];
    // Later processes of this gateway use larger numbers, because the clock never goes back.
    const auto by_clock = static_cast<std::uint64_t>(now.time_since_epoch().count());
    target.session = std::max(target.session + 1, by_clock);
    target.received = 0;
    target.stated_total = 0;
    target.requested_at = {};
    target.unanswered_since = {};
    target.replied_at = {};
}

void permit_holder::discard_permits(const server_process& server) {
    const auto found = stocks_.find(server);
    if (found != stocks_.end()) {
        found->second.expiries.clear();
    }
}

std::optional<permit_request> permit_holder::next_request(const server_process& server,
                                                          double limit_per_s, time_point now) {
    const auto found = stocks_.find(server);
    if (found == stocks_.end()) {
        return std::nullopt;
    }
    auto& target = found->second;
    std::erase_if(target.expiries, [&](time_point each) { return each <= now; });
    const auto count = wanted(target, now);
    const auto spare = wanted_spare(target, now);
    const auto total = target.received + count + spare;
    const bool is_changed = total != target.stated_total;
    const bool is_repeat_due =
        count + spare > 0 && now - target.requested_at >= settings_.request_interval;
    if (!is_changed && !is_repeat_due) {
        return std::nullopt;
    }
    target.stated_total = total;
    target.requested_at = now;
    if (count + spare > 0 && target.unanswered_since == time_point{}) {
        target.unanswered_since = now;
    }
    return permit_request{server, limit_per_s, target.session, target.received, count, spare};
}

duration permit_holder::wait_in_queue(const stock& target, duration step,
                                      std::optional<std::uint32_t> position) {
    const auto waiting = target.waiting_at_reply;
    const auto ahead = position.value_or(std::max(target.waiting, waiting));
    if (ahead >= waiting) {
        return target.next_wait + step * (ahead - waiting);
    }
    if (ahead == 0) {
        return target.first_wait;
    }
    // The requests of this gateway are taken as evenly spread over the granter's queue.
    const auto last_wait = std::max(target.next_wait - step, target.first_wait);
    return target.first_wait + (last_wait - target.first_wait) * ahead / (waiting - 1);
}

duration permit_holder::estimated_wait(const server_process& server, double limit_per_s,
                                       std::optional<std::uint32_t> position,
                                       time_point now) const {
    const auto step = accrual_time(limit_per_s);
    const auto found = stocks_.find(server);
    if (found == stocks_.end()) {
        return step;
    }
    const auto& target = found->second;
    const bool is_silent = target.unanswered_since != time_point{} &&
                           now - target.unanswered_since >= settings_.granter_timeout;
    if (is_silent) {
        return std::max(step, settings_.silent_granter_wait);
    }
    const bool has_reply =
        target.replied_at != time_point{} && now - target.replied_at < settings_.reply_expiry;
    if (!has_reply) {
        return step * (position.value_or(target.waiting) + 1);
    }
    const auto wait = wait_in_queue(target, step, position) - (now - target.replied_at);
    return std::max(wait, min_wait);
}

time_point permit_holder::last_reply_at(const server_process& server) const {
    const auto found = stocks_.find(server);
    return found == stocks_.end() ? time_point{} : found->second.replied_at;
}

std::vector<server_process> permit_holder::servers() const {
    std::vector<server_process> out;
    for (const auto& each : stocks_) {
        out.push_back(each.first);
    }
    return out;
}

bool permit_holder::wants_permits(time_point now) const {
    return std::any_of(stocks_.begin(), stocks_.end(), [&](const auto& each) {
        return wanted(each.second, now) + wanted_spare(each.second, now) > 0;
    });
}

} // namespace camphorgrade::serving
