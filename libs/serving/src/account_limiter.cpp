#include <serving/account_limiter.h>

#include <algorithm>
#include <cmath>

namespace camphorgrade::serving {

namespace {

constexpr double ms_per_s = 1'000.0;
// What peers admit beyond the level becomes debt, limited to this many bursts.
constexpr double max_debt_in_bursts = 2.0;
// Share of a gateway's equal part of the burst. A report is sent early at this share, so that it
// reaches peers before all of them have used up their parts.
constexpr double early_report_share = 0.5;
// Level, as a share of the burst, above which a report can wait for the regular interval.
constexpr double early_report_level = 0.75;

/** Raises `seen` to `reported` and returns the difference; 0 if `reported` is lower, because
    reports may arrive out of order. */
double advance_counter(std::uint64_t& seen, std::uint64_t reported) {
    const auto added = reported > seen ? reported - seen : 0;
    seen += added;
    return static_cast<double>(added);
}

} // namespace

account_limiter::account_limiter(account_limiter_settings settings) : settings_(settings) {}

void account_limiter::set_catalogue(const service_catalogue& catalogue, time_point now) {
    const bool has_reduced_start = settings_.is_restart && !has_catalogue_;
    std::map<std::string, bucket> next;
    for (const auto& each : catalogue.accounts) {
        if (each.rate_per_s <= 0) {
            continue;
        }
        const double share = has_reduced_start ? settings_.restart_burst_share : 1.0;
        bucket updated{each.burst * share, each.rate_per_s, each.burst, now};
        if (const auto found = buckets_.find(each.name); found != buckets_.end()) {
            refill(found->second, now);
            updated.level = std::min(found->second.level, each.burst);
            updated.unapplied_charges = found->second.unapplied_charges;
        }
        next.emplace(each.name, updated);
    }
    buckets_ = std::move(next);
    std::erase_if(schedules_, [this](const auto& each) { return buckets_.count(each.first) == 0; });
    has_catalogue_ = true;
}

std::size_t account_limiter::reporting_peers(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& each) {
            return now - each.second.reported_at < settings_.peer_report_timeout;
        }));
}

double account_limiter::usable_share(time_point now) const {
    const auto silent = peers_.size() - reporting_peers(now);
    return 1.0 - static_cast<double>(silent) / static_cast<double>(gateway_count());
}

void account_limiter::refill(bucket& target, time_point now) const {
    const auto passed = static_cast<double>((now - target.refilled_at).count()) / ms_per_s;
    target.level =
        std::min(target.burst, target.level + passed * target.rate_per_s * usable_share(now));
    target.refilled_at = now;
    if (target.level >= target.burst) {
        target.unapplied_charges = 0;
    }
}

void account_limiter::charge_for_peer(bucket& target, double cost) {
    const double unclamped_level = target.level - cost;
    target.level = std::max(unclamped_level, -max_debt_in_bursts * target.burst);
    target.unapplied_charges += target.level - unclamped_level;
}

void account_limiter::apply_credit(bucket& target, double cost) {
    // Unapplied charges were never subtracted from the level.
    const double never_applied = std::min(target.unapplied_charges, cost);
    target.unapplied_charges -= never_applied;
    target.level = std::min(target.burst, target.level + cost - never_applied);
}

bool account_limiter::restarted_together(duration age, time_point now) const {
    return settings_.is_restart && started_at_ &&
           now - age + settings_.joint_restart_window >= *started_at_;
}

void account_limiter::remove_expired_peers(time_point now) {
    std::erase_if(peers_, [&](const auto& each) {
        return now - each.second.reported_at >= settings_.peer_expiry;
    });
}

account_limiter::bucket* account_limiter::refilled_bucket(const std::string& name, time_point now) {
    const auto found = buckets_.find(name);
    if (found == buckets_.end()) {
        return nullptr;
    }
    remove_expired_peers(now);
    refill(found->second, now);
    return &found->second;
}

std::optional<duration> account_limiter::charge(const std::string& name, double cost,
                                                time_point now) {
    auto* account_bucket = refilled_bucket(name, now);
    if (account_bucket == nullptr) {
        return std::nullopt;
    }
    // A request larger than the burst is admitted when the bucket is full; otherwise it would
    // never be.
    const double needed = std::min(cost, account_bucket->burst);
    if (account_bucket->level < needed) {
        const double rate = std::max(account_bucket->rate_per_s * usable_share(now), 1.0);
        return duration{static_cast<duration::rep>(
            std::ceil((needed - account_bucket->level) / rate * ms_per_s))};
    }
    charge_bucket(name, *account_bucket, cost);
    return std::nullopt;
}

void account_limiter::charge_bucket(const std::string& name, bucket& target, double cost) {
    target.level -= cost;
    own_usage_[name].admitted += static_cast<std::uint64_t>(cost);
    unreported_[name] += cost;
}

account_bucket_state account_limiter::bucket_state(const std::string& name) const {
    const auto found = buckets_.find(name);
    return found == buckets_.end()
               ? account_bucket_state{}
               : account_bucket_state{found->second.level, found->second.rate_per_s};
}

bool account_limiter::is_report_due() const {
    return std::any_of(unreported_.begin(), unreported_.end(), [this](const auto& each) {
        const auto found = buckets_.find(each.first);
        if (found == buckets_.end()) {
            return false;
        }
        const auto& target = found->second;
        const auto share = each.second * static_cast<double>(gateway_count());
        return target.level < target.burst * early_report_level &&
               share >= target.burst * early_report_share;
    });
}

void account_limiter::credit(const std::string& name, double cost) {
    const auto found = buckets_.find(name);
    if (found == buckets_.end()) {
        return;
    }
    apply_credit(found->second, cost);
    own_usage_[name].credited += static_cast<std::uint64_t>(cost);
    unreported_[name] -= cost;
}

void account_limiter::on_peer_usage(const std::string& peer_name, std::uint64_t incarnation,
                                    duration age, const account_usage& usage, bool is_complete,
                                    time_point now) {
    auto& sender = peers_[peer_name];
    if (incarnation < sender.incarnation) {
        return;
    }
    sender.reported_at = now;
    if (incarnation != sender.incarnation && !is_complete) {
        return; // earlier charges of that process can't be separated from new ones
    }
    // What a peer used before its first report here is already part of the starting level. A
    // peer that restarted together with this process is the exception: all its charges are
    // recent.
    const bool is_in_starting_level = sender.incarnation == 0 && !restarted_together(age, now);
    if (is_in_starting_level) {
        sender.credits_accepted_from = now + settings_.max_request_time;
    }
    if (incarnation > sender.incarnation) {
        sender.incarnation = incarnation;
        sender.usage.clear();
    }
    for (const auto& [account_name, count] : usage) {
        auto& seen = sender.usage[account_name];
        const double admitted = advance_counter(seen.admitted, count.admitted);
        if (admitted > 0) {
            sender.admitted_at[account_name] = now;
        }
        const double credited = advance_counter(seen.credited, count.credited);
        const auto found = buckets_.find(account_name);
        if (found == buckets_.end() || is_in_starting_level) {
            continue;
        }
        auto& account_bucket = found->second;
        refill(account_bucket, now);
        charge_for_peer(account_bucket, admitted);
        if (now >= sender.credits_accepted_from) {
            apply_credit(account_bucket, credited);
        }
    }
}

} // namespace camphorgrade::serving
