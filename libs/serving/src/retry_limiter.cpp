#include <serving/retry_limiter.h>

#include <kernel/check.h>

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
    by_service_[service].requests.push_back(now);
}

retry_usage retry_limiter::usage(const std::string& service, std::size_t gateway_count,
                                 time_point now) {
    CAMPHOR_PRECONDITION(gateway_count > 0);
    auto& service_counts = by_service_[service];
    expire(service_counts, now);
    const auto requests = service_counts.requests.size();
    const double allowed =
        settings_.usable_share * (settings_.ratio * static_cast<double>(requests) +
                                  settings_.base_retries / static_cast<double>(gateway_count));
    return {requests, service_counts.retries.size(), allowed, gateway_count};
}

bool retry_limiter::try_retry(const std::string& service, std::size_t gateway_count,
                              time_point now) {
    const auto used = usage(service, gateway_count, now);
    if (static_cast<double>(used.retries) + 1 > used.allowed) {
        return false;
    }
    by_service_[service].retries.push_back(now);
    return true;
}

} // namespace camphorgrade::serving
