#include "permit_fleet.h"

#include <catch2/catch.hpp>

#include <string>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

const server_process server = permit_fleet::limited_server();

constexpr duration window{4'000};
constexpr duration start_time{8'000}; // the takeover delay and the first permits
constexpr duration detection_time{1'500};

/** The goal is at most the limit and five requests in any 4 s. */
std::size_t allowed(double limit_per_s) {
    return static_cast<std::size_t>(4 * limit_per_s + 5);
}

void check_most(const permit_fleet& tested, double limit_per_s, time_point from) {
    const auto most = tested.max_arrivals(from, window);
    CHECK(most <= allowed(limit_per_s));
}

void check_used(const permit_fleet& tested, double limit_per_s, time_point from) {
    constexpr double min_used_share = 0.9;
    const auto seconds = static_cast<double>((tested.now() - from).count()) / 1'000;
    const auto used = static_cast<double>(tested.arrivals(from, tested.now()));
    // One permit may be on its way at either end.
    CHECK(used + 1 >= min_used_share * limit_per_s * seconds);
}

duration measured_time(double limit_per_s) {
    return limit_per_s < 1 ? duration{60'000} : duration{20'000};
}

} // namespace

TEST_CASE("any number of gateways keeps to a server's limit and uses it") {
    for (const std::size_t gateways : {2, 16, 60, 380}) {
        for (const double limit : {0.3, 1.0, 5.0, 50.0}) {
            for (const bool is_skewed : {false, true}) {
                INFO(gateways << " gateways, " << limit << " a second, skewed " << is_skewed);
                permit_fleet tested({gateways, limit, 3 * limit + 20, is_skewed, 0, 1});
                const auto from = tested.run(start_time);
                tested.run(measured_time(limit));
                check_most(tested, limit, at_ms(0));
                check_used(tested, limit, from);
            }
        }
    }
}

TEST_CASE("lost messages neither exceed a server's limit nor leave it unused") {
    for (const std::size_t gateways : {16, 60}) {
        for (const double limit : {0.3, 1.0, 5.0, 50.0}) {
            INFO(gateways << " gateways, " << limit << " a second");
            permit_fleet tested({gateways, limit, 3 * limit + 20, false, 0.2, 7});
            const auto from = tested.run(start_time);
            tested.run(measured_time(limit));
            check_most(tested, limit, at_ms(0));
            check_used(tested, limit, from);
        }
    }
}

TEST_CASE("a server's limit is kept while its granter is frozen, cut off or restarted") {
    for (const double limit : {0.3, 1.0, 5.0, 50.0}) {
        for (const auto* fault : {"frozen", "cut off", "restarted"}) {
            INFO(limit << " a second, granter " << fault);
            permit_fleet tested({16, limit, 3 * limit + 20, false, 0, 3});
            tested.run(start_time);
            const auto granter = tested.granter();
            const std::string kind = fault;
            if (kind == "frozen") {
                tested.freeze(granter);
            } else if (kind == "cut off") {
                tested.cut_off(granter, true);
            } else {
                tested.restart(granter);
            }
            tested.run(detection_time);
            tested.update_views();
            tested.run(duration{12'000});
            tested.thaw(granter);
            tested.cut_off(granter, false);
            tested.run(duration{300});
            tested.update_views();
            const auto recovered = tested.run(start_time);
            tested.run(measured_time(limit));
            check_most(tested, limit, at_ms(0));
            check_used(tested, limit, recovered);
        }
    }
}

TEST_CASE("a limit that falls or rises is kept at once") {
    permit_fleet tested({16, 50, 200, false, 0, 5});
    tested.run(start_time);
    tested.set_limit(1);
    // Only permits that were on their way at the change come on top.
    const auto lowered = tested.run(duration{100});
    tested.run(duration{20'000});
    check_most(tested, 1, lowered);
    check_used(tested, 1, lowered);
    tested.set_limit(20);
    const auto raised = tested.run(duration{1'000});
    tested.run(duration{10'000});
    check_most(tested, 20, raised);
    check_used(tested, 20, raised);
}

TEST_CASE("a server whose limit is 0 still gets a few requests, which may show another limit") {
    permit_fleet tested({16, 0, 50, false, 0, 5});
    const auto from = tested.run(start_time);
    tested.run(duration{60'000});
    check_most(tested, 0, at_ms(0));
    CHECK(tested.arrivals(from, tested.now()) >= 4);
}

TEST_CASE("permits for requests that may come don't delay requests that wait") {
    permit_granter granter({});
    constexpr int interested = 50;
    for (int i = 0; i < interested; ++i) {
        granter.on_request("g" + std::to_string(i), {server, 1, 1, 0, 0, 1}, at_ms(0), at_ms(0));
    }
    granter.on_request("waiting", {server, 1, 1, 0, 1, 0}, at_ms(0), at_ms(1));
    for (const auto& each : granter.advance(at_ms(1))) {
        CHECK(each.grant.next_wait <= duration{2'200});
        CHECK(each.grant.granted == 0);
    }
    granter.on_request("waiting", {server, 1, 1, 0, 1, 0}, at_ms(0), at_ms(500));
    const auto granted = granter.advance(at_ms(1'060));
    REQUIRE(granted.size() == 1);
    CHECK(granted.front().to == "waiting");
    CHECK(granted.front().grant.granted == 1);
}
