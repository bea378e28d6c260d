#include "placement_measures.h"

#include <algorithm>
#include <numeric>

namespace camphorgrade::experiment {

namespace {

constexpr double ms_per_s = 1000;

double mean(const std::vector<double>& values) {
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

double quantile(std::vector<double> values, double part) {
    if (values.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::ranges::sort(values);
    return values[index];
}

/** Max-min fair division of `capacity` among the demands. */
std::vector<double> fair_shares(std::vector<double> demands, double capacity) {
    std::vector<double> shares(demands.size());
    std::vector<std::size_t> by_demand(demands.size());
    std::iota(by_demand.begin(), by_demand.end(), std::size_t{0});
    std::ranges::sort(by_demand, {}, [&](std::size_t i) { return demands[i]; });
    std::size_t left = demands.size();
    for (const std::size_t i : by_demand) {
        shares[i] = std::min(demands[i], capacity / static_cast<double>(left));
        capacity -= shares[i];
        --left;
    }
    return shares;
}

} // namespace

void placement_measures::engine_step(std::size_t tokens, std::size_t seats) {
    step_tokens_ += tokens;
    step_seats_ += seats;
}

std::map<std::string, double> placement_measures::summary(duration measured) const {
    const double seconds = static_cast<double>(measured.count()) / ms_per_s;
    const auto stalled = std::ranges::count_if(stalls_ms_, [](double each) { return each > 0; });
    const double starts = std::max<double>(1, static_cast<double>(stalls_ms_.size()));
    return {{"requests", static_cast<double>(stalls_ms_.size())},
            {"stall_mean_ms", mean(stalls_ms_)},
            {"stall_p95_ms", quantile(stalls_ms_, 0.95)},
            {"stall_p99_ms", quantile(stalls_ms_, 0.99)},
            {"stalled_share", static_cast<double>(stalled) / starts},
            {"batch_efficiency", static_cast<double>(step_tokens_) /
                                     static_cast<double>(std::max<std::uint64_t>(1, step_seats_))},
            {"first_token_p50_ms", quantile(first_ms_, 0.5)},
            {"first_token_p95_ms", quantile(first_ms_, 0.95)},
            {"worst_account", worst_account()},
            {"refused", static_cast<double>(refused_)},
            {"lost", static_cast<double>(lost_)},
            {"loads_per_s", static_cast<double>(loads_) / seconds}};
}

double placement_measures::worst_account() const {
    const std::vector<double> demands(asked_.begin(), asked_.end());
    const double capacity = std::accumulate(served_.begin(), served_.end(), 0.0);
    const std::vector<double> shares = fair_shares(demands, capacity);
    double worst = 1;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (shares[i] > 0) {
            worst = std::min(worst, static_cast<double>(served_[i]) / shares[i]);
        }
    }
    return worst;
}

} // namespace camphorgrade::experiment
