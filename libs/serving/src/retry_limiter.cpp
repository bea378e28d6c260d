#include <serving/retry_limiter.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::serving {

retry_limiter::retry_limiter(retry_limiter_settings settings) : settings_(settings) {}

void retry_limiter::expire(counts& target, time_point now) const {
    const auto oldest = now - settings_.window;
    while (!target.requests.empty() && target.requests.front() <= oldest) {
        target.requests.pop_front();
    }
    while (!target.retries.empty() && target.retries.front() <= oldest) {
        target.retries.pop_front();
    }
}

void retry_limiter::on_request(const std::string& service, time_point now) {
    first_request_at_ = first_request_at_.value_or(now);
    auto& target = by_service_[service];
    expire(target, now);
    target.requests.push_back(now);
}

void retry_limiter::set_gateways(const std::vector<std::string>& live,
                                 const std::vector<std::string>& others, time_point now) {
    live_gateways_ = live.size();
    known_gateways_.add(live, now);
    known_gateways_.add(others, now);
    known_gateways_.remove_expired(now);
}

double retry_limiter::additional_share(time_point now) const {
    // An earlier process ended before the first request here.
    const bool covers_window = first_request_at_ && now - *first_request_at_ >= settings_.window;
    if (settings_.is_restart && !covers_window) {
        return 0;
    }
    const auto known = known_gateways_.size();
    if (known == 0) {
        return settings_.base_retries;
    }
    const bool hears_most = 2 * live_gateways_ > known;
    return hears_most ? settings_.base_retries / static_cast<double>(known) : 0;
}

retry_usage retry_limiter::usage(const std::string& service, time_point now) {
    auto& service_counts = by_service_[service];
    expire(service_counts, now);
    const auto requests = service_counts.requests.size();
    const double allowed =
        settings_.usable_share *
        (settings_.ratio * static_cast<double>(requests) + additional_share(now));
    return {requests, service_counts.retries.size() + service_counts.reserved, allowed,
            std::max<std::size_t>(known_gateways_.size(), 1), live_gateways_};
}

std::size_t retry_limiter::remembered_requests(const std::string& service) const {
    const auto found = by_service_.find(service);
    return found == by_service_.end() ? 0 : found->second.requests.size();
}

bool retry_limiter::try_reserve(const std::string& service, time_point now) {
    const auto used = usage(service, now);
    if (static_cast<double>(used.retries) + 1 > used.allowed) {
        return false;
    }
    ++by_service_[service].reserved;
    return true;
}

bool retry_limiter::try_send(const std::string& service, time_point now) {
    release(service);
    const auto used = usage(service, now);
    auto& target = by_service_[service];
    // Other reservations are checked when they are sent.
    if (static_cast<double>(target.retries.size()) + 1 > used.allowed) {
        return false;
    }
    target.retries.push_back(now);
    return true;
}

void retry_limiter::release(const std::string& service) {
    auto& reserved = by_service_[service].reserved;
    CAMPHOR_PRECONDITION(reserved > 0);
    --reserved;
}

} // namespace camphorgrade::serving
