#include <serving/account_limiter.h>

#include <algorithm>
#include <cmath>

namespace camphorgrade::serving {

namespace {

constexpr double ms_per_s = 1'000.0;
// What peers admitted beyond the level is owed, but no more than this many bursts of it.
constexpr double deepest_debt_in_bursts = 2.0;
// Of an equal part of the burst: peers hear at once before all of them can use up their parts.
constexpr double early_report_part = 0.5;
// Of the burst: while more is left, peers may hear later.
constexpr double early_report_level = 0.75;

/** Raises `seen` to `told`; returns by how much. Reports may arrive out of order. */
double raise(std::uint64_t& seen, std::uint64_t told) {
    const auto added = told > seen ? told - seen : 0;
    seen += added;
    return static_cast<double>(added);
}

} // namespace

account_limiter::account_limiter(account_limiter_settings settings) : settings_(settings) {}

void account_limiter::set_catalogue(const service_catalogue& catalogue, time_point now) {
    const bool starts_low = settings_.is_restart && !has_catalogue_;
    std::map<std::string, bucket> next;
    for (const auto& each : catalogue.accounts) {
        if (each.rate_per_s <= 0) {
            continue;
        }
        const double part = starts_low ? settings_.restart_burst_share : 1.0;
        bucket kept{each.burst * part, each.rate_per_s, each.burst, now};
        if (const auto found = buckets_.find(each.name); found != buckets_.end()) {
            refill(found->second, now);
            kept.level = std::min(found->second.level, each.burst);
            kept.forgiven = found->second.forgiven;
        }
        next.emplace(each.name, kept);
    }
    buckets_ = std::move(next);
    has_catalogue_ = true;
}

std::size_t account_limiter::reporting_peers(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& each) {
            return now - each.second.heard < settings_.peer_report_timeout;
        }));
}

double account_limiter::usable_share(time_point now) const {
    const auto silent = peers_.size() - reporting_peers(now);
    return 1.0 - static_cast<double>(silent) / static_cast<double>(gateway_count());
}

void account_limiter::refill(bucket& of, time_point now) const {
    const auto passed = static_cast<double>((now - of.refilled).count()) / ms_per_s;
    of.level = std::min(of.burst, of.level + passed * of.rate_per_s * usable_share(now));
    of.refilled = now;
    if (of.level >= of.burst) {
        of.forgiven = 0;
    }
}

void account_limiter::charge_for_peer(bucket& of, double cost) {
    const double owed = of.level - cost;
    of.level = std::max(owed, -deepest_debt_in_bursts * of.burst);
    of.forgiven += of.level - owed;
}

void account_limiter::give_back(bucket& of, double cost) {
    // What was forgiven was never taken.
    const double was_forgiven = std::min(of.forgiven, cost);
    of.forgiven -= was_forgiven;
    of.level = std::min(of.burst, of.level + cost - was_forgiven);
}

bool account_limiter::started_with(duration age, time_point now) const {
    return settings_.is_restart && began_ && now - age + settings_.joint_restart_window >= *began_;
}

void account_limiter::forget_expired(time_point now) {
    std::erase_if(
        peers_, [&](const auto& each) { return now - each.second.heard >= settings_.peer_expiry; });
}

std::optional<duration> account_limiter::charge(const std::string& name, double cost,
                                                time_point now) {
    const auto found = buckets_.find(name);
    if (found == buckets_.end()) {
        return std::nullopt;
    }
    forget_expired(now);
    auto& charged = found->second;
    refill(charged, now);
    // A request larger than the burst passes when the bucket is full, or it never could.
    const double needed = std::min(cost, charged.burst);
    if (charged.level < needed) {
        const double rate = std::max(charged.rate_per_s * usable_share(now), 1.0);
        return duration{
            static_cast<duration::rep>(std::ceil((needed - charged.level) / rate * ms_per_s))};
    }
    charged.level -= cost;
    own_[name].admitted += static_cast<std::uint64_t>(cost);
    unreported_[name] += cost;
    return std::nullopt;
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
        const auto& of = found->second;
        const auto part = each.second * static_cast<double>(gateway_count());
        return of.level < of.burst * early_report_level && part >= of.burst * early_report_part;
    });
}

void account_limiter::credit(const std::string& name, double cost) {
    const auto found = buckets_.find(name);
    if (found == buckets_.end()) {
        return;
    }
    give_back(found->second, cost);
    own_[name].credited += static_cast<std::uint64_t>(cost);
    unreported_[name] -= cost;
}

void account_limiter::on_peer_usage(const std::string& peer_name, std::uint64_t life, duration age,
                                    const account_usage& usage, bool has_all, time_point now) {
    auto& known = peers_[peer_name];
    if (life < known.life) {
        return;
    }
    known.heard = now;
    if (life != known.life && !has_all) {
        return; // what it used before can't be told from what is new
    }
    // What a peer used before this process knew it is part of what was there at the start, but for
    // one that started at the same time: all that it used was used since.
    const bool is_old_news = known.life == 0 && !started_with(age, now);
    if (is_old_news) {
        known.credits_from = now + settings_.max_request_time;
    }
    if (life > known.life) {
        known.life = life;
        known.usage.clear();
    }
    for (const auto& [account_name, count] : usage) {
        auto& seen = known.usage[account_name];
        const double admitted = raise(seen.admitted, count.admitted);
        const double given_back = raise(seen.credited, count.credited);
        const auto found = buckets_.find(account_name);
        if (found == buckets_.end() || is_old_news) {
            continue;
        }
        auto& shared = found->second;
        refill(shared, now);
        charge_for_peer(shared, admitted);
        if (now >= known.credits_from) {
            give_back(shared, given_back);
        }
    }
}

} // namespace camphorgrade::serving
