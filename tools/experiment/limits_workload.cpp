#include "limits_workload.h"

#include <kernel/random.h>

#include <algorithm>
#include <cmath>

namespace camphorgrade::experiment {

namespace {

constexpr std::int64_t burst_seconds = 20;
constexpr double overload = 5.0;
constexpr duration shift_period{20'000};
constexpr duration normal_length{180'000};
constexpr duration outage_length{600'000};
constexpr double skew = 1.5;
constexpr std::uint64_t least_prompt = 50;
constexpr std::uint64_t prompt_spread = 300;
constexpr std::uint64_t most_generated = 256;
constexpr std::uint64_t ms_per_generated_token = 20;
constexpr double mean_used = 328.0; // tokens of a request: the means of the two spreads

/** Draws a gateway; in the skewed patterns a few get most callers. */
std::size_t draw_gateway(const limits_scenario& scenario, duration at, random_source& random) {
    if (scenario.pattern == arrival_pattern::even) {
        return random.below(scenario.gateways);
    }
    double total = 0;
    for (std::size_t i = 0; i < scenario.gateways; ++i) {
        total += std::pow(static_cast<double>(i + 1), -skew);
    }
    double left = random.unit() * total;
    std::size_t rank = 0;
    while (rank + 1 < scenario.gateways) {
        left -= std::pow(static_cast<double>(rank + 1), -skew);
        if (left < 0) {
            break;
        }
        ++rank;
    }
    const std::int64_t shifts =
        scenario.pattern == arrival_pattern::shifting ? at / shift_period : 0;
    return (rank + static_cast<std::size_t>(shifts)) % scenario.gateways;
}

void add_arrivals(const limits_scenario& scenario, std::size_t account, double used_per_s,
                  random_source& random, std::vector<limits_arrival>& all) {
    constexpr double ms_per_s = 1'000;
    const double mean_gap_ms = ms_per_s * mean_used / used_per_s;
    double now = 0;
    while (true) {
        now += -std::log(1.0 - random.unit()) * mean_gap_ms;
        const duration at{static_cast<duration::rep>(now)};
        if (at >= length_of(scenario)) {
            return;
        }
        limits_arrival next{at, account, draw_gateway(scenario, at, random), 0, 0, {}};
        const std::uint64_t prompt = least_prompt + random.below(prompt_spread);
        const std::uint64_t generated = random.below(most_generated) + 1;
        next.cost = static_cast<std::int64_t>(prompt + most_generated);
        next.unused = static_cast<std::int64_t>(most_generated - generated);
        next.service = duration{static_cast<duration::rep>(generated * ms_per_generated_token)};
        all.push_back(next);
    }
}

} // namespace

std::vector<limits::account_limit> experiment_accounts() {
    std::vector<limits::account_limit> accounts{{"large-1", 4'000, 0},
                                                {"large-2", 2'000, 0},
                                                {"middle", 800, 0},
                                                {"small-1", 200, 0},
                                                {"small-2", 100, 0}};
    for (limits::account_limit& each : accounts) {
        each.burst_tokens = each.rate_tokens_per_s * burst_seconds;
    }
    return accounts;
}

duration length_of(const limits_scenario& scenario) {
    return scenario.faults.store_out ? outage_length : normal_length;
}

duration kill_time(const limits_scenario& scenario) {
    return length_of(scenario) / 5;
}

std::vector<limits_arrival> make_arrivals(const limits_scenario& scenario, std::uint64_t seed) {
    random_source random(seed);
    std::vector<limits_arrival> all;
    const std::vector<limits::account_limit> accounts = experiment_accounts();
    for (std::size_t i = 0; i < accounts.size(); ++i) {
        const double factor = i == 0 && scenario.one_tenant_over ? overload : scenario.load;
        const double rate = static_cast<double>(accounts[i].rate_tokens_per_s);
        add_arrivals(scenario, i, rate * factor, random, all);
    }
    std::stable_sort(all.begin(), all.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    return all;
}

std::string name_of(arrival_pattern pattern) {
    switch (pattern) {
    case arrival_pattern::even:
        return "even";
    case arrival_pattern::skewed:
        return "skewed";
    case arrival_pattern::shifting:
        return "shifting";
    }
    return {};
}

} // namespace camphorgrade::experiment
