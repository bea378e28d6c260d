#include "limits_runs.h"

#include <harness/fake_cluster.h>
#include <limits/limits_service.h>
#include <membership/membership_service.h>
#include <membership/standing_service.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <tuple>
#include <utility>

/** @file The project's own limits in the limits experiment. */
namespace camphorgrade::experiment {

namespace {

using limits::admission;
using limits::admission_refusal;
using limits::admission_state;
using limits::admission_ticket;
using limits::limits_service;
using membership::node_role;

constexpr std::size_t agents = 7;
constexpr std::size_t data_centres = 4;
constexpr duration joining{20'000};
constexpr duration filling{30'000};
constexpr duration watch_period{250};
constexpr duration patience{30'000};

/** Runs the scenario's arrivals through limits_service on every gateway. */
class shares_run final {
public:
    shares_run(const limits_scenario& scenario, const std::vector<limits_arrival>& arrivals,
               std::uint64_t seed)
        : scenario_(scenario), arrivals_(arrivals), cluster_(seed) {
        for (std::size_t i = 0; i < agents; ++i) {
            add_node("10.0.1." + std::to_string(i) + ":7000", node_role::agent, i);
        }
        for (std::size_t i = 0; i < scenario.gateways; ++i) {
            gateways_.push_back(
                add_node("10.0.0." + std::to_string(i) + ":7000", node_role::gateway, i));
        }
        result_.outcomes.resize(arrivals.size());
    }

    limits_run run() {
        cluster_.run_for(joining);
        for (const node_id& each : gateways_) {
            cluster_.act(each, [&](micro_kernel& kernel, step& now) {
                kernel.find<limits_service>("limits").set_accounts(experiment_accounts(), 1, now);
            });
        }
        cluster_.run_for(filling);
        begin_ = cluster_.now();
        const std::uint64_t messages = cluster_.messages_sent();
        const std::uint64_t bytes = cluster_.bytes_sent();
        const std::uint64_t calls = cluster_.store_calls();
        if (scenario_.faults.store_out) {
            cluster_.store().mode = harness::store_mode::refusing;
        }
        for (std::size_t i = 0; i < arrivals_.size(); ++i) {
            run_until(begin_ + arrivals_[i].at);
            offer(i);
        }
        run_until(begin_ + length_of(scenario_));
        const auto seconds = std::chrono::duration<double>(length_of(scenario_)).count();
        const double per_gateway = seconds * static_cast<double>(scenario_.gateways);
        result_.messages_per_s_per_gateway =
            static_cast<double>(cluster_.messages_sent() - messages) / per_gateway;
        result_.bytes_per_s_per_gateway =
            static_cast<double>(cluster_.bytes_sent() - bytes) / per_gateway;
        result_.store_calls_per_s = static_cast<double>(cluster_.store_calls() - calls) / seconds;
        return std::move(result_);
    }

private:
    struct ending {
        time_point at;
        std::size_t arrival = 0;
        node_id gateway;
        admission_ticket ticket;

        bool operator>(const ending& other) const {
            return std::tie(at, arrival) > std::tie(other.at, other.arrival);
        }
    };

    class listener final : public service, public limits::admission_listener {
    public:
        listener(shares_run& owner, node_id self) : owner_(owner), self_(std::move(self)) {}
        std::string_view name() const noexcept override { return "listener"; }
        void attach(micro_kernel& kernel) override {
            kernel.find<limits_service>("limits").set_listener(*this);
        }
        void on_admitted(admission_ticket ticket, step& now) override {
            owner_.admitted(owner_.waiting_.at({self_, ticket}), self_, ticket, now.time());
            owner_.waiting_.erase({self_, ticket});
        }
        void on_refused(admission_ticket ticket, const admission_refusal& /*refusal*/,
                        step& /*now*/) override {
            owner_.waiting_.erase({self_, ticket});
        }

    private:
        shares_run& owner_;
        node_id self_;
    };

    node_id add_node(const std::string& address, node_role role, std::size_t place) {
        node_id name{address};
        const std::string data_centre = "dc-" + std::to_string(place % data_centres);
        cluster_.add(name, [this, role, data_centre](micro_kernel& kernel) {
            const membership::node_info self{kernel.self(),
                                             kernel.life(),
                                             role,
                                             data_centre,
                                             "",
                                             membership::node_state::active};
            kernel.add(std::make_unique<membership::membership_service>(self));
            kernel.add(std::make_unique<membership::standing_service>(self));
            if (role == node_role::gateway) {
                kernel.add(std::make_unique<limits_service>());
                kernel.add(std::make_unique<listener>(*this, kernel.self()));
            }
        });
        return name;
    }

    void offer(std::size_t index) {
        const limits_arrival& arrival = arrivals_[index];
        node_id gateway = gateways_[arrival.gateway];
        if (!cluster_.alive(gateway)) {
            gateway = gateways_[(arrival.gateway + 1) % gateways_.size()];
        }
        const std::string account = experiment_accounts()[arrival.account].client_account;
        admission answer;
        cluster_.act(gateway, [&](micro_kernel& kernel, step& now) {
            answer = kernel.find<limits_service>("limits").admit(account, arrival.cost,
                                                                 now.time() + patience, now);
        });
        if (answer.state == admission_state::admitted) {
            admitted(index, gateway, answer.ticket, cluster_.now());
        } else if (answer.state == admission_state::waiting) {
            waiting_[{gateway, answer.ticket}] = index;
        }
    }

    void admitted(std::size_t index, const node_id& gateway, admission_ticket ticket,
                  time_point now) {
        const limits_arrival& arrival = arrivals_[index];
        result_.outcomes[index] = {true, now - (begin_ + arrival.at),
                                   arrival.cost * limits::micro_tokens_per_token, now};
        endings_.push({now + arrival.service, index, gateway, ticket});
    }

    void finish(const ending& ended) {
        if (!cluster_.alive(ended.gateway)) {
            return;
        }
        cluster_.act(ended.gateway, [&](micro_kernel& kernel, step& now) {
            result_.outcomes[ended.arrival].net -= kernel.find<limits_service>("limits").credit(
                ended.ticket, arrivals_[ended.arrival].unused, now);
        });
    }

    void run_until(time_point end) {
        while (cluster_.now() < end) {
            time_point next = end;
            if (!endings_.empty()) {
                next = std::min(next, std::max(endings_.top().at, cluster_.now()));
            }
            next = std::min(next, next_watch_);
            cluster_.run_for(std::max(next - cluster_.now(), duration{0}));
            while (!endings_.empty() && endings_.top().at <= cluster_.now()) {
                const ending ended = endings_.top();
                endings_.pop();
                finish(ended);
            }
            if (cluster_.now() >= next_watch_) {
                watch();
            }
        }
    }

    /** Kills the gateway when it is time, then waits for its shares to come back. */
    void watch() {
        next_watch_ = cluster_.now() + watch_period;
        const time_point kill_at = begin_ + kill_time(scenario_);
        if (!scenario_.faults.gateway_killed || begin_ == time_point{} ||
            cluster_.now() < kill_at) {
            return;
        }
        if (!killed_at_) {
            killed_at_ = cluster_.now();
            cluster_.kill(gateways_.front());
            return;
        }
        if (result_.recovered_after < duration{0} && all_held()) {
            result_.recovered_after = cluster_.now() - *killed_at_;
        }
    }

    bool all_held() {
        std::vector<double> held(experiment_accounts().size());
        for (const node_id& each : gateways_) {
            if (!cluster_.alive(each)) {
                continue;
            }
            const auto metrics =
                cluster_.kernel(each).find<limits_service>("limits").metrics(cluster_.now());
            for (std::size_t i = 0; i < metrics.size(); ++i) {
                held[i] += metrics[i].rate_share;
            }
        }
        constexpr double nearly_all = 0.999; // some is always under way
        return std::all_of(held.begin(), held.end(), [](double each) { return each > nearly_all; });
    }

    const limits_scenario& scenario_;
    const std::vector<limits_arrival>& arrivals_;
    harness::fake_cluster cluster_;
    std::vector<node_id> gateways_;
    limits_run result_;
    std::map<std::pair<node_id, admission_ticket>, std::size_t> waiting_;
    std::priority_queue<ending, std::vector<ending>, std::greater<>> endings_;
    time_point begin_{};
    time_point next_watch_{};
    std::optional<time_point> killed_at_;
};

} // namespace

limits_run run_shares(const limits_scenario& scenario, const std::vector<limits_arrival>& arrivals,
                      std::uint64_t seed) {
    return shares_run(scenario, arrivals, seed).run();
}

} // namespace camphorgrade::experiment
