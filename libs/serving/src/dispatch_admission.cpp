#include <serving/dispatcher.h>

#include <kernel/scaled.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

namespace {

// Urgency has ten steps: the account's priority ranks first, the route's priority decides within
// it.
constexpr int steps_per_account_priority = 3;
constexpr int least_urgent = 9;
// Deadline limit on a route that sets no timeout.
constexpr duration default_timeout{30'000};

int urgency_of(const route& matched, const client_account* account) {
    const int by_account = account != nullptr ? account->priority.value_or(0) : 0;
    const int by_route = std::clamp(matched.priority, 0, steps_per_account_priority - 1);
    return std::clamp(by_account * steps_per_account_priority + by_route, 0, least_urgent);
}

double cost_of(const request_metadata& metadata, const client_account& account) {
    if (!account.is_charged_by_tokens) {
        return 1;
    }
    return metadata.has_token_counts
               ? static_cast<double>(metadata.prompt_tokens + metadata.max_output_tokens)
               : account.default_cost;
}

} // namespace

std::optional<end_reason> dispatcher::resolve(request& entry) const {
    if (!entry.catalogue) {
        return end_reason::no_catalogue;
    }
    entry.found_route = entry.catalogue->find_route(entry.metadata.host, entry.metadata.path);
    if (entry.found_route == nullptr) {
        return end_reason::no_route;
    }
    const client_account* account =
        entry.metadata.key ? entry.catalogue->find_account(*entry.metadata.key) : nullptr;
    const bool needs_key =
        !entry.found_route->is_public && !entry.catalogue->catalogue().accounts.empty();
    if (needs_key && account == nullptr) {
        return end_reason::unknown_key;
    }
    entry.urgency = urgency_of(*entry.found_route, account);
    if (account != nullptr) {
        entry.account = account->name;
        entry.cost = cost_of(entry.metadata, *account);
    }
    return std::nullopt;
}

std::optional<end_reason> dispatcher::admit(request& entry, duration& retry_after, time_point now) {
    if (const auto reason = resolve(entry)) {
        if (*reason == end_reason::no_catalogue) {
            retry_after = retry_after_recovery(now);
        }
        return reason;
    }
    const auto limit = entry.found_route->timeout > duration::zero() ? entry.found_route->timeout
                                                                     : default_timeout;
    entry.deadline = now + std::min(entry.metadata.deadline.value_or(limit), limit);
    entry.deadline = std::min(entry.deadline, answer_by_.value_or(entry.deadline));
    if (crashes_.is_quarantined(entry.fingerprint, now)) {
        return end_reason::quarantined;
    }
    if (is_held(entry, now)) {
        retry_after = parts_.retry_after(entry.metadata.prompt_parts, now)
                          .value_or(settings_.max_retry_after);
        return end_reason::quarantined;
    }
    entry.service = choose_service(*entry.found_route);
    if (const auto wait = charge(entry, now)) {
        entry.refused_cost = std::exchange(entry.cost, 0);
        retry_after = std::clamp(*wait, settings_.min_retry_after, settings_.max_retry_after);
        return end_reason::over_rate;
    }
    return std::nullopt;
}

std::optional<duration> dispatcher::charge(request& entry, time_point now) {
    // Plain requests cost little and use other servers, so they don't wait behind prompts.
    if (!settings_.limits.schedules_returns || entry.metadata.model.empty()) {
        return limiter_.charge(entry.account, entry.cost, now);
    }
    // Callers wait for a part of their time only, and what comes long after the objective is of
    // little use to them.
    const auto by_deadline = scaled(entry.deadline - now, settings_.longest_return_time_share);
    const auto objective = entry.found_route->latency_objective;
    const auto by_objective = objective > duration::zero()
                                  ? scaled(objective, settings_.longest_return_objective_share)
                                  : by_deadline;
    const auto result = limiter_.charge({entry.account, entry.cost, entry.urgency,
                                         entry.fingerprint, std::min(by_deadline, by_objective)},
                                        now);
    entry.is_return_reserved = result.is_reserved;
    return result.is_charged ? std::nullopt : std::optional(result.wait);
}

std::string dispatcher::choose_service(const route& matched) {
    std::uint64_t total = 0;
    for (const auto& each : matched.services) {
        total += each.weight;
    }
    if (total == 0) {
        return {};
    }
    auto draw = random_.below(total);
    for (const auto& each : matched.services) {
        if (draw < each.weight) {
            return each.service;
        }
        draw -= each.weight;
    }
    return matched.services.back().service;
}

} // namespace camphorgrade::serving
