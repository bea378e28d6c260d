#include "permit_fleet.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <string>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

constexpr double cold_rate_per_s = 6.9;
constexpr duration window{1'000};
constexpr duration cold_time{12'000};
constexpr duration start_time{8'000};
constexpr duration learning_time{1'500};

/** A cold server crashes above this number of requests in one second. */
std::size_t allowed_in_window() {
    constexpr double overage = 1.5;
    constexpr double slack = 5;
    return static_cast<std::size_t>(std::floor(cold_rate_per_s * overage + slack));
}

service_catalogue cold_catalogue(double rate_per_s = cold_rate_per_s) {
    auto out = small_catalogue();
    out.services.front().cold_time = duration{3'000};
    out.services.front().cold_rate_per_s = rate_per_s;
    return out;
}

permit_fleet_settings busy_fleet(std::size_t gateways, double message_loss = 0) {
    return {gateways, std::nullopt, 2 * cold_rate_per_s + 20, false, message_loss, 3};
}

backend_server cold_engine(duration cold_left) {
    auto out = server_of("engine-1", "llm");
    out.cold_left = cold_left;
    return out;
}

} // namespace

TEST_CASE("a cold server gets no more than it sustains, however many gateways there are") {
    for (const std::size_t gateways : {1, 4, 16, 26, 60}) {
        for (const double loss : {0.0, 0.2}) {
            INFO(gateways << " gateways, " << loss << " of the messages lost");
            permit_fleet tested(busy_fleet(gateways, loss));
            const auto from = tested.run(start_time);
            tested.make_cold(cold_catalogue(), cold_time, learning_time);
            const auto learned = tested.run(learning_time + duration{500});
            const auto end = tested.run(cold_time - duration{2'500});
            CHECK(tested.max_arrivals(from, window) > 0);
            CHECK(tested.max_arrivals(learned - learning_time, window) <= allowed_in_window());
            const auto seconds = static_cast<double>((end - learned).count()) / 1'000;
            const auto used = static_cast<double>(tested.arrivals(learned, end));
            CHECK(used + 1 >= 0.8 * cold_rate_per_s * seconds);
        }
    }
}

TEST_CASE("a cold server's rate is kept while gateways restart or are cut off from each other") {
    for (const std::size_t gateways : {4, 16, 26, 60}) {
        for (const std::string fault : {"all restart", "granter cut off", "half cut off"}) {
            INFO(gateways << " gateways, " << fault);
            permit_fleet tested(busy_fleet(gateways));
            tested.run(start_time);
            tested.make_cold(cold_catalogue(), cold_time, duration{300});
            const auto learned = tested.run(duration{1'000});
            if (fault == "all restart") {
                tested.restart_all();
            } else if (fault == "granter cut off") {
                tested.cut_off(tested.granter(), true);
            } else {
                for (std::size_t i = 0; i < gateways / 2; ++i) {
                    tested.cut_off(i, true);
                }
            }
            tested.run(duration{500});
            tested.update_views();
            tested.run(cold_time - duration{3'000});
            CHECK(tested.max_arrivals(learned, window) <= allowed_in_window());
        }
    }
}

TEST_CASE("a cold server is limited until its time is over, and a repeated statement adds none") {
    cold_servers cold;
    cold.set_catalogue(cold_catalogue());
    const auto process = cold_engine({}).process();
    CHECK(cold.on_registration(cold_engine(duration{3'000}), at_ms(0)));
    CHECK_FALSE(cold.on_registration(cold_engine(duration{3'000}), at_ms(2'000)));
    REQUIRE(cold.find(process));
    CHECK(cold.find(process)->requests_per_s == cold_rate_per_s);
    CHECK(cold.update(at_ms(2'999)).empty());
    CHECK(cold.update(at_ms(3'000)) == std::vector<server_process>{process});
    CHECK(cold.is_empty());
    CHECK_FALSE(cold.on_registration(cold_engine(duration{3'000}), at_ms(3'100)));
    CHECK(cold.on_registration(cold_engine(duration{2'000}), at_ms(4'000)));
}

TEST_CASE("a server that states a cold time isn't limited without a valid rate") {
    for (const double rate : {0.0, -1.0, std::nan("")}) {
        cold_servers cold;
        cold.set_catalogue(cold_catalogue(rate));
        CHECK_FALSE(cold.on_registration(cold_engine(duration{3'000}), at_ms(0)));
        CHECK(cold.is_empty());
        CHECK_FALSE(cold.find(cold_engine({}).process()));
    }
}

TEST_CASE("a replaced process gets nothing before it has registered where servers may be cold") {
    dispatcher_fixture test;
    auto catalogue = cold_catalogue();
    catalogue.version = 2;
    test.decisions.set_catalogue(catalogue, at_ms(0));
    for (const auto* id : {"engine-1", "engine-2"}) {
        auto state = engine_with({{{"m/a1", 1}, false, 0}}, 2);
        state.started_at_ms = 2'000;
        test.decisions.on_engine_state(id, state, at_ms(10));
    }
    test.arrive(profile_of("/plan/x", "a1"), 20);
    CHECK(test.only<send_attempt>() == nullptr);
}
