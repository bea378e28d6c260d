#include <serving/retry_limiter.h>

#include <kernel/check.h>

namespace camphorgrade::serving {

retry_limiter::retry_limiter(retry_limiter_settings settings) : settings_(settings) {}

void retry_limiter::expire(counts& of, time_point now) const {
    const auto oldest = now - settings_.window;
    while (!of.requests.empty() && of.requests.front() <= oldest) {
        of.requests.pop_front();
    }
    while (!of.repeats.empty() && of.repeats.front() <= oldest) {
        of.repeats.pop_front();
    }
}

void retry_limiter::on_request(const std::string& service, time_point now) {
    by_service_[service].requests.push_back(now);
}

bool retry_limiter::try_retry(const std::string& service, std::size_t gateways, time_point now) {
    CAMPHOR_PRECONDITION(gateways > 0);
    auto& counted = by_service_[service];
    expire(counted, now);
    const double allowed =
        settings_.usable_share * (settings_.ratio * static_cast<double>(counted.requests.size()) +
                                  settings_.base_retries / static_cast<double>(gateways));
    if (static_cast<double>(counted.repeats.size()) + 1 > allowed) {
        return false;
    }
    counted.repeats.push_back(now);
    return true;
}

} // namespace camphorgrade::serving
