#include "limits_runs.h"

#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <utility>

/** @file The reference and the baselines of the limits experiment. */
namespace camphorgrade::experiment {

namespace {

using limits::account_share;
using limits::micro_tokens_per_token;
using limits::whole;

constexpr time_point start{duration{1'000'000}};

/** A request that runs and will be credited. */
struct running {
    time_point ends;
    std::size_t arrival = 0;
    std::size_t holder = 0;
    std::uint64_t admission = 0;

    bool operator>(const running& other) const {
        return ends != other.ends ? ends > other.ends : arrival > other.arrival;
    }
};

/** Buckets that admit at once or refuse, one set for each holder. */
class plain_buckets {
public:
    plain_buckets(std::size_t holders, limits_run& result) : result_(result) {
        const std::vector<limits::account_limit> accounts = experiment_accounts();
        for (std::size_t i = 0; i < holders; ++i) {
            for (const limits::account_limit& each : accounts) {
                account_share held;
                held.set_limit(each, time_point{});
                const auto part = whole / static_cast<limits::parts>(holders);
                held.receive(
                    {part, part, held.account_burst() / static_cast<limits::micro_tokens>(holders)},
                    time_point{});
                shares_.push_back(std::move(held));
            }
        }
        accounts_ = accounts.size();
    }

    void offer(const limits_arrival& arrival, std::size_t index, std::size_t holder) {
        const time_point now = start + arrival.at;
        finish_until(now);
        account_share& held = shares_[holder * accounts_ + arrival.account];
        const auto admission = held.charge(arrival.cost * micro_tokens_per_token, now);
        if (admission) {
            result_.outcomes[index] = {true, {}, arrival.cost * micro_tokens_per_token, now};
            unused_.emplace(index, std::pair(arrival.account, arrival.unused));
            running_.push({now + arrival.service, index, holder, *admission});
        }
    }

private:
    void finish_until(time_point now) {
        while (!running_.empty() && running_.top().ends <= now) {
            const running ended = running_.top();
            running_.pop();
            const auto [account, unused] = unused_.at(ended.arrival);
            result_.outcomes[ended.arrival].net -=
                shares_[ended.holder * accounts_ + account].credit(
                    ended.admission, unused * micro_tokens_per_token, ended.ends);
        }
    }

    limits_run& result_;
    std::size_t accounts_ = 0;
    std::vector<account_share> shares_;
    std::map<std::size_t, std::pair<std::size_t, std::int64_t>> unused_;
    std::priority_queue<running, std::vector<running>, std::greater<>> running_;
};

} // namespace

limits_run run_reference(const limits_scenario& /*scenario*/,
                         const std::vector<limits_arrival>& arrivals) {
    limits_run result;
    result.outcomes.resize(arrivals.size());
    plain_buckets buckets(1, result);
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        buckets.offer(arrivals[i], i, 0);
    }
    return result;
}

limits_run run_static(const limits_scenario& scenario,
                      const std::vector<limits_arrival>& arrivals) {
    limits_run result;
    result.outcomes.resize(arrivals.size());
    plain_buckets buckets(scenario.gateways, result);
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        const bool killed = scenario.faults.gateway_killed &&
                            arrivals[i].at >= kill_time(scenario) && arrivals[i].gateway == 0;
        buckets.offer(arrivals[i], i, killed ? 1 % scenario.gateways : arrivals[i].gateway);
    }
    return result;
}

limits_run run_store_bucket(const limits_scenario& scenario,
                            const std::vector<limits_arrival>& arrivals) {
    limits_run result;
    result.outcomes.resize(arrivals.size());
    plain_buckets buckets(1, result);
    std::size_t calls = 0;
    for (std::size_t i = 0; i < arrivals.size(); ++i) {
        ++calls;
        if (scenario.faults.store_out) {
            continue; // no answer, no admission
        }
        buckets.offer(arrivals[i], i, 0);
        calls += result.outcomes[i].admitted ? 1 : 0;
    }
    const auto seconds = std::chrono::duration<double>(length_of(scenario)).count();
    result.store_calls_per_s = static_cast<double>(calls) / seconds;
    return result;
}

} // namespace camphorgrade::experiment
