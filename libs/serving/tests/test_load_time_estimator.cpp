#include "serving_fixture.h"

#include <serving/load_time_estimator.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

/** A weight store that sustains a given number of loads at full speed. */
struct weight_store {
    double full_speed_loads = 8;
    double load_ms = 250;

    duration load(std::uint32_t loads_in_progress) const {
        const double slowdown = std::max(1.0, loads_in_progress / full_speed_loads);
        return duration{static_cast<duration::rep>(load_ms * slowdown)};
    }
};

} // namespace

TEST_CASE("load: the estimate adapts soon to a store that sustains many parallel loads") {
    const weight_store store{80, 250};
    load_time_estimator estimator({});
    CHECK(estimator.estimate(40) > duration{1'000});
    for (int i = 0; i < 20; ++i) {
        estimator.on_load(store.load(40), 40);
    }
    CHECK(estimator.estimate(30) <= duration{300});
}

TEST_CASE("load: the estimate adapts to a store that sustains few parallel loads") {
    const weight_store store{2, 250};
    load_time_estimator estimator({});
    for (int i = 0; i < 100; ++i) {
        estimator.on_load(store.load(8), 8);
    }
    CHECK(estimator.estimate(7) >= duration{750});
}

TEST_CASE("the load time at full speed is learned while few loads are in progress") {
    const weight_store store{8, 600};
    load_time_estimator estimator({});
    for (int i = 0; i < 60; ++i) {
        estimator.on_load(store.load(2), 2);
    }
    CHECK(estimator.estimate(0) >= duration{550});
    CHECK(estimator.full_speed_loads() == Approx(8));
}

TEST_CASE("a single slow load changes the estimate little") {
    load_time_estimator estimator({});
    estimator.on_load(duration{5'000}, 8);
    CHECK(estimator.estimate(7) < duration{300});
}

TEST_CASE("load: requests are not refused because of loads that the store sustains at full speed") {
    dispatcher_fixture with;
    // 40 loads in progress, each completed in 250 ms.
    std::uint64_t sequence = 10;
    const auto busy_state = [&](std::uint64_t completed_loads) {
        std::vector<adapter_status> loading;
        loading.reserve(40);
        for (int i = 0; i < 40; ++i) {
            loading.push_back({{"m/b" + std::to_string(i), 1}, true, 0});
        }
        auto state = engine_with(loading, ++sequence);
        state.available_adapter_slots = 2;
        state.cold_loads = completed_loads;
        state.last_cold_load = duration{250};
        return state;
    };
    const auto first_estimate = [&](std::int64_t ms) {
        with.arrive(profile_of("/plan/x", "a" + std::to_string(ms)), ms);
        const auto* wait = with.only<wait_for_backend>();
        return wait == nullptr ? duration{-1} : wait->time_to_first_byte;
    };
    with.decisions.on_engine_state("engine-1", busy_state(1), at_ms(1));
    const auto before = first_estimate(2);
    CHECK(before > duration{1'000});
    for (std::uint64_t i = 2; i < 30; ++i) {
        with.decisions.on_engine_state("engine-1", busy_state(i), at_ms(static_cast<int>(i)));
    }
    static_cast<void>(with.decisions.take_effects());
    const auto after = first_estimate(40);
    CHECK(after > duration::zero());
    CHECK(after < duration{600});
}
