#include "fleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace camphorgrade;
using namespace camphorgrade::limits;
using test::fleet;

namespace {

constexpr std::int64_t rate = 50;
constexpr std::int64_t burst = 2'000;
constexpr std::size_t gateways = 4;
constexpr std::size_t agents = 5;
constexpr std::size_t history_length = 60;
constexpr duration traffic_period{250};
constexpr duration in_force{5'000};
constexpr duration until_full{45'000};
constexpr std::size_t most_dead_agents = 2; // a majority of the witnesses lives

enum class act {
    admit_small,
    admit_large,
    admit_burst,
    credit_much,
    credit_all,
    pause_gateway,
    resume_gateway,
    kill_gateway,
    restart_gateway,
    kill_agent,
    restart_agent,
    cut_from_agent,
    cut_from_gateway,
    cut_from_store,
    heal,
    store_out,
    store_silent,
    store_up,
    lossy,
    clean,
    wait_long,
    rest,
    change_limits,
    withdraw_key,
    last
};

struct command {
    act what = act::admit_small;
    std::size_t who = 0;
    std::size_t other = 0;
    int wait_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const command& each) {
    return out << '{' << static_cast<int>(each.what) << ',' << each.who << ',' << each.other << ','
               << each.wait_ms << '}';
}

/** Admissions make up half of a history. */
rc::Gen<command> any_command() {
    const auto admits = rc::gen::element(act::admit_small, act::admit_large, act::admit_burst,
                                         act::credit_much, act::credit_all, act::resume_gateway,
                                         act::restart_gateway, act::restart_agent);
    const auto faults = rc::gen::map(rc::gen::inRange(0, static_cast<int>(act::last)),
                                     [](int each) { return static_cast<act>(each); });
    return rc::gen::build<command>(
        rc::gen::set(&command::what, rc::gen::oneOf(admits, faults)),
        rc::gen::set(&command::who, rc::gen::inRange<std::size_t>(0, gateways)),
        rc::gen::set(&command::other, rc::gen::inRange<std::size_t>(0, agents)),
        rc::gen::set(&command::wait_ms, rc::gen::element(0, 1, 3, 20, 200, 1'500)));
}

class driver {
public:
    explicit driver(std::uint64_t seed) : all(seed, gateways, agents) {
        all.start(rate, burst);
        all.cluster.run_for(until_full);
    }

    void run(const command& next) {
        act_on_gateway(next, all.gateways()[next.who]);
        act_on_surroundings(next, all.gateways()[next.who]);
        run_with_traffic(duration{next.wait_ms});
    }

    /** Ends all faults and lets the fleet recover. */
    void recover() {
        all.cluster.store() = {};
        all.cluster.network() = {};
        all.cluster.heal();
        for (const node_id& each : all.cluster.nodes()) {
            if (all.cluster.paused(each)) {
                all.cluster.resume(each);
            }
            if (!all.cluster.alive(each)) {
                all.cluster.restart(each);
            }
            if (each.value().find(".0.0.") != std::string::npos) {
                all.refresh(each);
            }
        }
        run_with_traffic(duration{30'000});
        all.cluster.run_for(duration{30'000});
    }

    /** Times at which a gateway would have admitted on a key withdrawn for too long. */
    std::size_t late_admissions() const { return late_admissions_; }

    /** The most parts ever held by gateways that could admit. */
    parts most_held() const { return most_held_; }

    std::size_t accepted_withdrawals() const {
        return static_cast<std::size_t>(
            std::count_if(withdrawals_.begin(), withdrawals_.end(),
                          [](const withdrawal& each) { return each.accepted_at.has_value(); }));
    }

    fleet all;

private:
    /** Every gateway is asked for more than the account may have. */
    void run_with_traffic(duration span) {
        const time_point end = all.cluster.now() + span;
        while (all.cluster.now() < end) {
            for (const node_id& each : all.gateways()) {
                if (all.usable(each)) {
                    all.admit(each, 30);
                }
            }
            all.credit_oldest(50);
            follow_withdrawals();
            const share held = all.held_with_standing();
            most_held_ = std::max({most_held_, held.rate_parts, held.burst_parts});
            all.cluster.run_for(std::min(traffic_period, end - all.cluster.now()));
        }
    }

    void act_on_gateway(const command& next, const node_id& gateway) {
        auto& cluster = all.cluster;
        if (!cluster.alive(gateway)) {
            if (next.what == act::restart_gateway) {
                cluster.restart(gateway);
                all.refresh(gateway);
            }
            return;
        }
        if (cluster.paused(gateway)) {
            if (next.what == act::resume_gateway) {
                cluster.resume(gateway);
                all.refresh(gateway);
            }
            return;
        }
        switch (next.what) {
        case act::admit_small:
            all.admit(gateway, 1 + static_cast<std::int64_t>(next.other));
            break;
        case act::admit_large:
            all.admit(gateway, burst / 8);
            break;
        case act::admit_burst:
            all.admit(gateway, burst);
            break;
        case act::credit_much:
            all.credit_oldest(80);
            break;
        case act::credit_all:
            all.credit_oldest(100);
            break;
        case act::pause_gateway:
            cluster.pause(gateway);
            break;
        case act::kill_gateway:
            cluster.kill(gateway);
            break;
        case act::withdraw_key:
            withdraw(gateway);
            break;
        default:
            break;
        }
    }

    void act_on_surroundings(const command& next, const node_id& gateway) {
        auto& cluster = all.cluster;
        const node_id& agent = all.agents()[next.other];
        switch (next.what) {
        case act::kill_agent:
            if (cluster.alive(agent) && killed_agents_.size() < most_dead_agents) {
                cluster.kill(agent);
                killed_agents_.insert(agent);
            }
            break;
        case act::restart_agent:
            if (!cluster.alive(agent)) {
                cluster.restart(agent);
            }
            break;
        case act::cut_from_agent:
            cluster.cut(gateway, agent);
            break;
        case act::cut_from_gateway:
            cluster.cut(gateway, all.gateways()[next.other % gateways]);
            break;
        case act::cut_from_store:
            cluster.cut_from_store(gateway);
            break;
        case act::heal:
            cluster.heal();
            break;
        case act::store_out:
            cluster.store().mode = harness::store_mode::refusing;
            break;
        case act::store_silent:
            cluster.store().mode = harness::store_mode::silent;
            break;
        case act::store_up:
            cluster.store() = {};
            break;
        case act::lossy:
            cluster.network() = {duration{1}, duration{300}, 0.2, 0.2};
            cluster.store().answer_loss = 0.3;
            break;
        case act::change_limits:
            all.set_limit(rate * static_cast<std::int64_t>(1 + next.other),
                          burst * static_cast<std::int64_t>(1 + next.who));
            break;
        case act::clean:
            cluster.network() = {};
            break;
        case act::wait_long:
            run_with_traffic(duration{9'000});
            break;
        case act::rest:
            cluster.run_for(until_full);
            break;
        default:
            break;
        }
    }

    /** Withdraws a new key at that gateway; accepted once it knows a majority that holds it. */
    void withdraw(const node_id& gateway) {
        const std::string key = "key-" + std::to_string(withdrawals_.size());
        auto& log = all.keys(gateway);
        log.merge({key}, all.cluster.now());
        withdrawals_.push_back(
            {key, gateway, all.cluster.kernel(gateway).life(), log.size(), std::nullopt});
    }

    void follow_withdrawals() {
        for (withdrawal& each : withdrawals_) {
            const bool same_life =
                all.usable(each.gateway) && all.cluster.kernel(each.gateway).life() == each.life;
            if (!each.accepted_at && same_life &&
                all.standing(each.gateway).held_by_majority(each.position)) {
                each.accepted_at = all.cluster.now();
            }
            const bool due = each.accepted_at && all.cluster.now() - *each.accepted_at > in_force;
            for (const node_id& gateway : all.gateways()) {
                if (due && all.usable(gateway) &&
                    all.standing(gateway).has_standing(all.cluster.now()) &&
                    !all.keys(gateway).withdrawn(each.key)) {
                    ++late_admissions_;
                }
            }
        }
    }

    struct withdrawal {
        std::string key;
        node_id gateway;
        incarnation life;
        std::uint64_t position = 0;
        std::optional<time_point> accepted_at;
    };

    std::set<node_id> killed_agents_;
    std::vector<withdrawal> withdrawals_;
    std::size_t late_admissions_ = 0;
    parts most_held_ = 0;
};

} // namespace

TEST_CASE("bounds and withdrawals hold in any window, and all shares come back") {
    rc::prop("for any history", [] {
        driver run(*rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
        const auto history =
            *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<command>>(
                                                   history_length, any_command()))
                 .as("history");
        for (const command& each : history) {
            run.run(each);
            RC_ASSERT(run.most_held() <= whole);
        }
        RC_ASSERT(test::within_every_window(run.all.all_received(), run.all.allowed()));
        run.recover();
        RC_ASSERT(test::within_every_window(run.all.all_received(), run.all.allowed()));
        RC_ASSERT(run.late_admissions() == 0);
        RC_CLASSIFY(run.accepted_withdrawals() > 0, "withdrawals accepted");
        for (const node_id& each : run.all.gateways()) {
            RC_ASSERT(run.all.standing(each).has_standing(run.all.cluster.now()));
        }
        const share held = run.all.held();
        RC_LOG() << "held " << held.rate_parts << ' ' << held.burst_parts << '\n';
        RC_ASSERT(held.rate_parts == whole);
        RC_ASSERT(held.burst_parts == whole);
        RC_CLASSIFY(run.all.all_received().size() >= 10, "ten admissions or more");
    });
}
