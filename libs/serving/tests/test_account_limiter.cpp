#include "serving_fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <memory>
#include <numeric>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

constexpr double rate_per_s = 1'000;
constexpr double burst = 1'000;

service_catalogue one_account() {
    service_catalogue out;
    out.version = 1;
    out.accounts = {{"a", {"k"}, std::nullopt, true, 1, rate_per_s, burst}};
    return out;
}

/** Gateways that report to each other every 100 ms, except to and from a partitioned one. */
class gateways {
public:
    explicit gateways(std::size_t count) : all_(count, account_limiter({})) {
        for (auto& each : all_) {
            each.set_catalogue(one_account(), at_ms(0));
        }
    }

    bool admit(std::size_t at, double cost, time_point now) {
        return !all_[at].charge("a", cost, now).has_value();
    }

    void credit(std::size_t at, double cost) { all_[at].credit("a", cost); }

    void report(time_point now, std::size_t partitioned) {
        for (std::size_t from = 0; from < all_.size(); ++from) {
            for (std::size_t to = 0; to < all_.size(); ++to) {
                if (from != to && from != partitioned && to != partitioned) {
                    all_[to].on_peer_usage(std::to_string(from), 1, duration{60'000},
                                           all_[from].own_usage(), true, now);
                }
            }
        }
    }

private:
    std::vector<account_limiter> all_;
};

constexpr std::size_t no_partition = 99;

/** A request that was admitted and will be credited because it doesn't run. */
struct credited_request {
    std::size_t gateway = 0;
    std::size_t ends_at = 0; /**< Tenth of a second in which its cost is credited. */
};

} // namespace

TEST_CASE("an account gets its burst, then its rate") {
    account_limiter limiter({});
    limiter.set_catalogue(one_account(), at_ms(0));
    CHECK_FALSE(limiter.charge("a", burst, at_ms(0)).has_value());
    CHECK(limiter.charge("a", 500, at_ms(0)) == duration{500});
    CHECK_FALSE(limiter.charge("a", 500, at_ms(500)).has_value());
    limiter.credit("a", 500);
    CHECK_FALSE(limiter.charge("a", 500, at_ms(500)).has_value());
}

TEST_CASE("a request larger than the burst is admitted when the bucket is full") {
    account_limiter limiter({});
    limiter.set_catalogue(one_account(), at_ms(0));
    CHECK_FALSE(limiter.charge("a", 3 * burst, at_ms(0)).has_value());
    CHECK(limiter.charge("a", 1, at_ms(0)).has_value());
}

TEST_CASE("an account without a rate isn't limited") {
    account_limiter limiter({});
    limiter.set_catalogue({}, at_ms(0));
    CHECK_FALSE(limiter.charge("a", 1e9, at_ms(0)).has_value());
}

TEST_CASE("after a restart an account doesn't start with its full burst") {
    account_limiter_settings settings;
    settings.is_restart = true;
    account_limiter limiter(settings);
    limiter.set_catalogue(one_account(), at_ms(0));
    CHECK(limiter.charge("a", burst, at_ms(0)).has_value());
}

TEST_CASE("the share of an expired peer becomes available") {
    account_limiter limiter({});
    limiter.set_catalogue(one_account(), at_ms(0));
    limiter.on_peer_usage("p", 1, duration{60'000}, {}, true, at_ms(0));
    CHECK(limiter.gateway_count() == 2);
    limiter.charge("a", burst, at_ms(25'000));
    CHECK(limiter.gateway_count() == 1);
    CHECK(limiter.charge("a", 1'000, at_ms(25'000)) == duration{1'000});
}

TEST_CASE("a peer's credit is available again") {
    gateways fleet(2);
    fleet.report(at_ms(0), no_partition);
    REQUIRE(fleet.admit(0, 800, at_ms(20'000)));
    fleet.report(at_ms(20'000), no_partition);
    CHECK_FALSE(fleet.admit(1, burst, at_ms(20'000)));
    fleet.credit(0, 800);
    fleet.report(at_ms(20'000), no_partition);
    CHECK(fleet.admit(1, burst, at_ms(20'000)));
}

TEST_CASE("a peer's credit for charges made before it was known is ignored") {
    gateways fleet(2);
    REQUIRE(fleet.admit(0, 800, at_ms(0)));
    fleet.report(at_ms(0), no_partition);
    REQUIRE(fleet.admit(1, burst, at_ms(0)));
    fleet.credit(0, 800);
    fleet.report(at_ms(0), no_partition);
    CHECK_FALSE(fleet.admit(1, 800, at_ms(0)));
}

TEST_CASE(
    "load: an account keeps its rate after backend servers refused everything for two seconds") {
    constexpr std::size_t count = 8;
    constexpr double cost = 20;
    constexpr std::size_t each_tenth = 4; // requests of 20 tokens: eight tenths of the rate
    gateways fleet(count);
    fleet.report(at_ms(0), no_partition);
    std::size_t next = 0;
    std::size_t refused = 0;
    for (std::int64_t tenth = 1; tenth < 300; ++tenth) {
        const auto now = at_ms(tenth * 100);
        const bool servers_refuse = tenth >= 200 && tenth < 220;
        for (std::size_t i = 0; i < each_tenth; ++i) {
            const auto at = next++ % count;
            // A caller that was refused retries at most twice.
            for (int attempt = 0; attempt < (servers_refuse ? 3 : 1); ++attempt) {
                const bool is_admitted = fleet.admit(at, cost, now);
                refused += is_admitted ? 0 : 1;
                if (is_admitted && servers_refuse) {
                    fleet.credit(at, cost);
                }
            }
        }
        fleet.report(now, no_partition);
    }
    CHECK(refused == 0);
}

TEST_CASE("in every quota window all gateways together stay within the users' bound") {
    rc::prop("an account at many times its rate, a gateway partitioned at any time", [] {
        // The users' bound: 8 s of rate and the burst, 10 % more, and a slack of 1.1 s of rate.
        const double bound = (rate_per_s * 8 + burst) * 1.1 + 1.1 * rate_per_s;
        const auto count = *rc::gen::inRange<std::size_t>(1, 6);
        const auto partitioned =
            *rc::gen::elementOf(std::vector<std::size_t>{no_partition, 0, count - 1});
        const auto partitioned_from = *rc::gen::inRange(0, 120);
        const auto credited_of_ten = *rc::gen::inRange(0, 10);
        gateways fleet(count);
        fleet.report(at_ms(0), no_partition);
        std::vector<double> by_tenth;
        std::vector<credited_request> to_credit;
        for (std::int64_t tenth = 0; tenth < 160; ++tenth) {
            const auto now = at_ms(tenth * 100);
            std::erase_if(to_credit, [&](const credited_request& each) {
                const bool has_ended = each.ends_at <= by_tenth.size();
                if (has_ended) {
                    fleet.credit(each.gateway, 50);
                }
                return has_ended;
            });
            const auto sent = *rc::gen::container<std::vector<std::size_t>>(
                8, rc::gen::inRange<std::size_t>(0, count));
            double admitted = 0;
            for (const auto at : sent) {
                if (!fleet.admit(at, 50, now)) {
                    continue;
                }
                if (*rc::gen::inRange(0, 10) < credited_of_ten) {
                    const auto run_time = *rc::gen::inRange<std::size_t>(1, 20);
                    to_credit.push_back({at, by_tenth.size() + run_time});
                } else {
                    admitted += 50;
                }
            }
            by_tenth.push_back(admitted);
            fleet.report(now, tenth >= partitioned_from ? partitioned : no_partition);
        }
        for (std::size_t from = 0; from + 80 <= by_tenth.size(); ++from) {
            const auto begin = by_tenth.begin() + static_cast<std::ptrdiff_t>(from);
            RC_ASSERT(std::accumulate(begin, begin + 80, 0.0) <= bound);
        }
    });
}

namespace {

/** Delivery of reports: immediate in a small fleet, through relays in a large one. Times in ms. */
struct report_delivery {
    std::int64_t interval = 100;
    std::int64_t time = 0;
    std::int64_t urgent_time = 0;
};

constexpr report_delivery through_relays{200, 200, 40};

/** Returns the largest cost admitted in any 8 s when all gateways are killed at `killed_at_ms`. */
double most_admitted_around_restart(std::size_t count, double demand_in_rates,
                                    std::int64_t killed_at_ms, report_delivery delivery) {
    constexpr double cost = 30;
    constexpr std::int64_t step = 20;
    constexpr std::int64_t end = 20'000;
    constexpr std::int64_t spread = 300; // between the first restart and the last, ms
    std::vector<std::unique_ptr<account_limiter>> all;
    std::vector<std::uint64_t> incarnations(count, 1);
    std::vector<std::int64_t> started_at(count, 0);
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back(std::make_unique<account_limiter>(account_limiter_settings{}));
        all.back()->set_catalogue(one_account(), at_ms(0));
    }
    struct report {
        std::int64_t arrives = 0;
        std::size_t from = 0;
        std::uint64_t incarnation = 0;
        std::int64_t started_at = 0;
        account_usage usage;
    };
    std::vector<report> in_transit;
    std::vector<double> admitted;
    double due = 0;
    std::size_t next = 0;
    for (std::int64_t ms = 0; ms < end; ms += step) {
        for (std::size_t i = 0; i < count; ++i) {
            const auto restarted_at = killed_at_ms + spread * static_cast<std::int64_t>(i + 1) /
                                                         static_cast<std::int64_t>(count);
            if (ms >= killed_at_ms && ms < restarted_at) {
                all[i].reset();
            } else if (ms >= restarted_at && !all[i]) {
                account_limiter_settings settings;
                settings.is_restart = true;
                started_at[i] = ms;
                ++incarnations[i];
                all[i] = std::make_unique<account_limiter>(settings);
                all[i]->on_start(at_ms(ms));
                all[i]->set_catalogue(one_account(), at_ms(ms));
            }
        }
        double in_step = 0;
        for (due += demand_in_rates * rate_per_s * step / 1'000; due >= cost; due -= cost) {
            auto& at = all[next++ % count];
            in_step += at && !at->charge("a", cost, at_ms(ms)) ? cost : 0;
        }
        admitted.push_back(in_step);
        for (std::size_t from = 0; from < count; ++from) {
            const bool is_urgent = all[from] && all[from]->is_report_due();
            if (!all[from] || (ms % delivery.interval != 0 && !is_urgent)) {
                continue;
            }
            all[from]->on_report_sent();
            in_transit.push_back({ms + (is_urgent ? delivery.urgent_time : delivery.time), from,
                                  incarnations[from], started_at[from], all[from]->own_usage()});
        }
        for (const auto& each : in_transit) {
            for (std::size_t to = 0; each.arrives <= ms && to < count; ++to) {
                if (each.from != to && all[to]) {
                    all[to]->on_peer_usage(std::to_string(each.from), each.incarnation,
                                           duration{ms - each.started_at}, each.usage, true,
                                           at_ms(ms));
                }
            }
        }
        std::erase_if(in_transit, [&](const report& each) { return each.arrives <= ms; });
    }
    double max_admitted = 0;
    constexpr std::size_t window = 8'000 / step;
    for (std::size_t from = 0; from + window <= admitted.size(); ++from) {
        const auto begin = admitted.begin() + static_cast<std::ptrdiff_t>(from);
        max_admitted = std::max(max_admitted, std::accumulate(begin, begin + window, 0.0));
    }
    return max_admitted;
}

} // namespace

TEST_CASE("load: all gateways restart together while an account sends many times its rate") {
    // The users' bound with the slack of their largest account, 0.33 s of rate.
    const double bound = (rate_per_s * 8 + burst) * 1.1 + 0.33 * rate_per_s;
    for (const std::size_t count : {1, 4, 5, 12, 28}) {
        for (const double demand : {2.0, 6.0, 20.0}) {
            for (const std::int64_t killed : {10'000, 5'500}) {
                INFO(count << " gateways, " << demand << " times the rate, killed at " << killed);
                CHECK(most_admitted_around_restart(count, demand, killed, {}) <= bound);
            }
        }
    }
}

TEST_CASE("load: the limit holds across a restart of a large fleet with relayed reports") {
    const double bound = (rate_per_s * 8 + burst) * 1.1 + 0.33 * rate_per_s;
    for (const std::size_t count : {20, 68}) {
        for (const double demand : {2.0, 6.0}) {
            for (const std::int64_t killed : {10'000, 5'500}) {
                INFO(count << " gateways, " << demand << " times the rate, killed at " << killed);
                CHECK(most_admitted_around_restart(count, demand, killed, through_relays) <= bound);
            }
        }
    }
}

TEST_CASE("an early report is due only when much is charged and the bucket isn't nearly full") {
    account_limiter limiter({});
    limiter.set_catalogue(one_account(), at_ms(0));
    for (int peer = 0; peer < 99; ++peer) {
        limiter.on_peer_usage(std::to_string(peer), 1, duration{60'000}, {}, true, at_ms(0));
    }
    REQUIRE_FALSE(limiter.charge("a", burst * 0.1, at_ms(1)));
    CHECK_FALSE(limiter.is_report_due()); // most of the burst is left
    limiter.on_report_sent();
    REQUIRE_FALSE(limiter.charge("a", burst * 0.3, at_ms(2)));
    CHECK(limiter.is_report_due());
    limiter.on_report_sent();
    CHECK_FALSE(limiter.is_report_due());
}
