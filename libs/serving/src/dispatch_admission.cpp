#include <serving/dispatcher.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

namespace {

// Urgency has ten steps: an account's priority goes first, the route's decides within it.
constexpr int steps_per_account_priority = 3;
constexpr int least_urgent = 9;
// Time that a caller without a deadline of its own gets beyond a route that states none.
constexpr duration default_timeout{30'000};

int urgency_of(const route& on, const client_account* account) {
    const int by_account = account != nullptr ? account->priority.value_or(0) : 0;
    const int by_route = std::clamp(on.priority, 0, steps_per_account_priority - 1);
    return std::clamp(by_account * steps_per_account_priority + by_route, 0, least_urgent);
}

double cost_of(const request_metadata& profile, const client_account& account) {
    if (!account.is_charged_by_tokens) {
        return 1;
    }
    return profile.has_token_counts
               ? static_cast<double>(profile.prompt_tokens + profile.max_output_tokens)
               : account.default_cost;
}

} // namespace

std::optional<end_reason> dispatcher::identify(request& of) const {
    if (!of.catalogue) {
        return end_reason::no_catalogue;
    }
    of.on_route = of.catalogue->find_route(of.profile.host, of.profile.path);
    if (of.on_route == nullptr) {
        return end_reason::no_route;
    }
    const client_account* account =
        of.profile.key ? of.catalogue->find_account(*of.profile.key) : nullptr;
    const bool needs_key = !of.on_route->is_public && !of.catalogue->catalogue().accounts.empty();
    if (needs_key && account == nullptr) {
        return end_reason::unknown_key;
    }
    of.urgency = urgency_of(*of.on_route, account);
    if (account != nullptr) {
        of.account = account->name;
        of.cost = cost_of(of.profile, *account);
    }
    return std::nullopt;
}

std::optional<end_reason> dispatcher::check(request& of, duration& retry_after, time_point now) {
    if (const auto reason = identify(of)) {
        if (*reason == end_reason::no_catalogue) {
            retry_after = retry_when_complete(now);
        }
        return reason;
    }
    const auto longest =
        of.on_route->timeout > duration::zero() ? of.on_route->timeout : default_timeout;
    of.deadline = now + std::min(of.profile.deadline.value_or(longest), longest);
    if (crashes_.is_quarantined(of.content, now)) {
        return end_reason::quarantined;
    }
    of.service = pick_service(*of.on_route);
    if (const auto wait = limiter_.charge(of.account, of.cost, now)) {
        of.refused_cost = std::exchange(of.cost, 0);
        retry_after = std::clamp(*wait, settings_.min_retry_after, settings_.max_retry_after);
        return end_reason::over_rate;
    }
    return std::nullopt;
}

std::string dispatcher::pick_service(const route& from) {
    std::uint64_t total = 0;
    for (const auto& each : from.services) {
        total += each.weight;
    }
    if (total == 0) {
        return {};
    }
    auto drawn = random_.below(total);
    for (const auto& each : from.services) {
        if (drawn < each.weight) {
            return each.service;
        }
        drawn -= each.weight;
    }
    return from.services.back().service;
}

} // namespace camphorgrade::serving
