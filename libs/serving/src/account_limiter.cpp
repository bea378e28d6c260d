#include <serving/account_limiter.h>

#include <algorithm>
#include <cmath>

namespace camphorgrade::serving {

namespace {

constexpr double ms_per_s = 1'000.0;
// Spans that the window is counted in; it is held too long by at most one of them.
constexpr std::int64_t spans_per_window = 32;

} // namespace

account_limiter::account_limiter(account_limiter_settings settings) : settings_(settings) {}

std::int64_t account_limiter::span_of(time_point now) const {
    const auto length = std::max<duration::rep>(1, settings_.window.count() / spans_per_window);
    return now.time_since_epoch().count() / length;
}

void account_limiter::set_catalogue(const service_catalogue& catalogue, time_point now) {
    std::map<std::string, account> next;
    for (const auto& each : catalogue.accounts) {
        if (each.rate_per_s <= 0) {
            continue;
        }
        auto& kept = next[each.name];
        if (const auto found = accounts_.find(each.name); found != accounts_.end()) {
            kept = std::move(found->second);
        }
        kept.rate_per_s = each.rate_per_s;
        kept.burst = each.burst;
        expire(kept, now);
    }
    accounts_ = std::move(next);
}

std::size_t account_limiter::audible_peers(time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(peers_.begin(), peers_.end(), [&](const auto& each) {
            return now - each.second.heard < settings_.peer_silence;
        }));
}

double account_limiter::usable_share(time_point now) const {
    const auto silent = peers_.size() - audible_peers(now);
    return 1.0 - static_cast<double>(silent) / static_cast<double>(gateways());
}

double account_limiter::limit(const account& of, time_point now) const {
    const double window_s = static_cast<double>(settings_.window.count()) / ms_per_s;
    return (of.rate_per_s * window_s + of.burst) * usable_share(now);
}

void account_limiter::expire(account& of, time_point now) const {
    const auto newest = span_of(now);
    const auto passed = std::min(newest - of.newest_span, spans_per_window + 1);
    for (std::int64_t i = 0; i < passed; ++i) {
        of.spans.push_back(0);
    }
    of.newest_span = newest;
    while (of.spans.size() > static_cast<std::size_t>(spans_per_window) + 1) {
        of.sum -= of.spans.front();
        of.spans.pop_front();
    }
}

void account_limiter::use(account& of, double amount, time_point now) const {
    expire(of, now);
    of.spans.back() += amount;
    of.sum += amount;
}

duration account_limiter::until_free(const account& of, double needed, time_point now) const {
    const auto length = std::max<duration::rep>(1, settings_.window.count() / spans_per_window);
    const auto into_span = now.time_since_epoch().count() % length;
    double freed = 0;
    duration::rep spans = 0;
    for (const double each : of.spans) {
        ++spans;
        freed += each;
        if (freed >= needed) {
            break;
        }
    }
    return duration{spans * length - into_span};
}

void account_limiter::forget_expired(time_point now) {
    std::erase_if(peers_, [&](const auto& each) {
        return now - each.second.heard >= settings_.peer_expiry;
    });
}

std::optional<duration> account_limiter::charge(const std::string& name, double cost,
                                                time_point now) {
    const auto found = accounts_.find(name);
    if (found == accounts_.end()) {
        return std::nullopt;
    }
    forget_expired(now);
    auto& charged = found->second;
    expire(charged, now);
    const double over = charged.sum + cost - limit(charged, now);
    // A request larger than the limit passes when nothing else was used, or it never could.
    if (over > 0 && charged.sum > 0) {
        return until_free(charged, std::min(over, charged.sum), now);
    }
    use(charged, cost, now);
    own_[name] += static_cast<std::uint64_t>(cost);
    return std::nullopt;
}

void account_limiter::credit(const std::string& name, double cost) {
    const auto found = accounts_.find(name);
    if (found == accounts_.end() || found->second.spans.empty()) {
        return;
    }
    auto& credited = found->second;
    const double amount = std::min(cost, credited.spans.back());
    credited.spans.back() -= amount;
    credited.sum -= amount;
}

void account_limiter::on_peer_usage(const std::string& peer_name, std::uint64_t life,
                                    const account_usage& usage, time_point now) {
    auto& known = peers_[peer_name];
    if (life < known.life) {
        return;
    }
    const bool is_first = known.life == 0;
    if (life > known.life) {
        known.life = life;
        known.usage.clear();
    }
    known.heard = now;
    for (const auto& [account_name, count] : usage) {
        auto& seen = known.usage[account_name];
        const auto added = count > seen ? count - seen : 0;
        seen = std::max(seen, count);
        const auto found = accounts_.find(account_name);
        if (found != accounts_.end() && !is_first) {
            use(found->second, static_cast<double>(added), now);
        }
    }
}

} // namespace camphorgrade::serving
