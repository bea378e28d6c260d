#include <serving/retry_allowance.h>

#include <kernel/check.h>

namespace camphorgrade::serving {

retry_allowance::retry_allowance(retry_allowance_settings settings) : settings_(settings) {}

void retry_allowance::expire(counts& of, time_point now) const {
    const auto oldest = now - settings_.window;
    while (!of.requests.empty() && of.requests.front() <= oldest) {
        of.requests.pop_front();
    }
    while (!of.repeats.empty() && of.repeats.front() <= oldest) {
        of.repeats.pop_front();
    }
}

void retry_allowance::on_request(const std::string& service, time_point now) {
    by_service_[service].requests.push_back(now);
}

bool retry_allowance::try_repeat(const std::string& service, std::size_t gateways, time_point now) {
    CAMPHOR_PRECONDITION(gateways > 0);
    auto& counted = by_service_[service];
    expire(counted, now);
    const double allowed =
        settings_.own_part * (settings_.ratio * static_cast<double>(counted.requests.size()) +
                              settings_.slack / static_cast<double>(gateways));
    if (static_cast<double>(counted.repeats.size()) + 1 > allowed) {
        return false;
    }
    counted.repeats.push_back(now);
    return true;
}

} // namespace camphorgrade::serving
