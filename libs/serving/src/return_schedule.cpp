#include <serving/return_schedule.h>

#include <algorithm>
#include <cmath>

namespace camphorgrade::serving {

namespace {

constexpr double ms_per_s = 1'000.0;
// A demand that is younger is averaged over this time, so that one request alone isn't a high one.
constexpr duration min_demand_age{100};
// Bounds the time that a low rate takes to yield a cost.
constexpr double max_accrual_ms = 3'600'000;

duration time_to_accrue(double amount, double rate_per_s) {
    if (amount <= 0) {
        return duration::zero();
    }
    const double ms = rate_per_s > 0 ? amount / rate_per_s * ms_per_s : max_accrual_ms;
    return duration{static_cast<duration::rep>(std::ceil(std::min(ms, max_accrual_ms)))};
}

/** Share of an average that is left after `time`. */
double decay(duration time, duration period) {
    return std::exp(-static_cast<double>(time.count()) / static_cast<double>(period.count()));
}

double accrued(duration time, double rate_per_s) {
    return std::max(0.0, static_cast<double>(time.count())) / ms_per_s * rate_per_s;
}

} // namespace

void return_schedule::insert(const return_reservation& reservation) {
    const auto at = std::upper_bound(reservations_.begin(), reservations_.end(), reservation,
                                     [](const auto& a, const auto& b) { return a.due < b.due; });
    reservations_.insert(at, reservation);
    fingerprints_.insert(reservation.fingerprint);
}

bool return_schedule::claim(std::uint64_t fingerprint, time_point now) {
    if (!contains(fingerprint)) {
        return false;
    }
    const auto found = std::find_if(
        reservations_.begin(), reservations_.end(),
        [&](const return_reservation& each) { return each.fingerprint == fingerprint; });
    if (now < found->due - settings_.early_tolerance) {
        return false;
    }
    reservations_.erase(found);
    fingerprints_.erase(fingerprint);
    return true;
}

double return_schedule::reserved_level(int urgency, double rate_per_s, time_point now) const {
    double reserved = 0;
    double needed = 0;
    for (const auto& each : reservations_) {
        if (each.urgency <= urgency) {
            reserved += each.cost;
            needed = std::max(needed, reserved - accrued(each.due - now, rate_per_s));
        }
    }
    return needed;
}

std::size_t return_schedule::step_of(int urgency) {
    return std::min(static_cast<std::size_t>(std::max(urgency, 0)), urgency_steps - 1);
}

void return_schedule::on_demand(double cost, int urgency, time_point now) {
    auto& average = demand_[step_of(urgency)];
    const auto pause = now - average.updated_at;
    if (pause > settings_.demand_period) {
        average = {0, now, now};
    }
    average.cost = average.cost * decay(pause, settings_.demand_period) + cost;
    average.updated_at = now;
}

double return_schedule::demand_per_s(const demand_average& average, time_point now) const {
    const auto period = settings_.demand_period;
    const auto cost = average.cost * decay(now - average.updated_at, period);
    // Requests that began to come a moment ago fill only a part of the period.
    const auto age = std::max(now - average.began_at, min_demand_age);
    const auto filled_s = static_cast<double>(period.count()) / ms_per_s * (1 - decay(age, period));
    return cost / filled_s;
}

double return_schedule::own_rate(const account_budget& budget) const {
    return budget.rate_per_s * budget.own_share * settings_.usable_rate_share;
}

bool return_schedule::has_share(int urgency, const account_budget& budget, time_point now) const {
    double more_urgent = 0;
    for (std::size_t step = 0; step < step_of(urgency); ++step) {
        more_urgent += demand_per_s(demand_[step], now);
    }
    return own_rate(budget) > more_urgent;
}

void return_schedule::use_own_share(const budget_request& request, const account_budget& budget,
                                    time_point now) {
    const auto time = time_to_accrue(request.cost, own_rate(budget));
    for (auto step = step_of(request.urgency); step < urgency_steps; ++step) {
        accrued_at_[step] = std::max(accrued_at_[step], now) + time;
    }
}

bool return_schedule::try_admit(const budget_request& request, const account_budget& budget,
                                time_point now) {
    const auto left = budget.level - request.cost;
    if (left < reserved_level(request.urgency, budget.rate_per_s, now)) {
        return false;
    }
    const auto sufficient =
        reservations_.empty() ? settings_.short_level : settings_.recovered_level;
    if (budget.level >= budget.burst * sufficient) {
        return true;
    }
    if (accrued_at_[step_of(request.urgency)] > now || !has_share(request.urgency, budget, now)) {
        return false;
    }
    use_own_share(request, budget, now);
    return true;
}

time_point return_schedule::available_at(const budget_request& request,
                                         const account_budget& budget, time_point now) const {
    double reserved = 0;
    for (const auto& each : reservations_) {
        reserved += each.urgency <= request.urgency ? each.cost : 0;
    }
    const auto missing = request.cost + reserved + budget.unreported - budget.level;
    return now + time_to_accrue(missing, budget.rate_per_s);
}

std::optional<time_point> return_schedule::reserve(const budget_request& request,
                                                   const account_budget& budget, time_point latest,
                                                   time_point now) {
    if (contains(request.fingerprint) || reservations_.size() >= settings_.max_reservations ||
        !has_share(request.urgency, budget, now)) {
        return std::nullopt;
    }
    const auto due = std::max({accrued_at_[step_of(request.urgency)], now + settings_.min_delay,
                               available_at(request, budget, now)});
    if (due > latest) {
        return std::nullopt;
    }
    use_own_share(request, budget, now);
    insert({request.fingerprint, due, request.cost, request.urgency});
    return due;
}

void return_schedule::add(const return_reservation& reservation, time_point now) {
    const bool is_usable = std::isfinite(reservation.cost) && reservation.cost > 0 &&
                           now < reservation.due + settings_.claim_time;
    if (is_usable && !contains(reservation.fingerprint) &&
        reservations_.size() < settings_.max_reservations) {
        insert(reservation);
    }
}

void return_schedule::remove_expired(time_point now) {
    const auto is_over = [&](const return_reservation& each) {
        return now >= each.due + settings_.claim_time;
    };
    const auto end = std::find_if_not(reservations_.begin(), reservations_.end(), is_over);
    for (auto each = reservations_.begin(); each != end; ++each) {
        fingerprints_.erase(each->fingerprint);
    }
    reservations_.erase(reservations_.begin(), end);
}

} // namespace camphorgrade::serving
