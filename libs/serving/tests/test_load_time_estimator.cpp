#include "serving_fixture.h"

#include <serving/load_time_estimator.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

/** A weight store that carries so many loads at full speed. */
struct weight_store {
    double full_speed_loads = 8;
    double load_ms = 250;

    duration load(std::uint32_t under_way) const {
        const double slowdown = std::max(1.0, under_way / full_speed_loads);
        return duration{static_cast<duration::rep>(load_ms * slowdown)};
    }
};

} // namespace

TEST_CASE("load: a store that carries many loads at once is soon known to") {
    const weight_store store{80, 250};
    load_time_estimator pace({});
    CHECK(pace.estimate(40) > duration{1'000});
    for (int i = 0; i < 20; ++i) {
        pace.on_load(store.load(40), 40);
    }
    CHECK(pace.estimate(30) <= duration{300});
}

TEST_CASE("load: a store that carries few loads at once is known to, too") {
    const weight_store store{2, 250};
    load_time_estimator pace({});
    for (int i = 0; i < 100; ++i) {
        pace.on_load(store.load(8), 8);
    }
    CHECK(pace.estimate(7) >= duration{750});
}

TEST_CASE("the time of a load alone is learned while few are under way") {
    const weight_store store{8, 600};
    load_time_estimator pace({});
    for (int i = 0; i < 60; ++i) {
        pace.on_load(store.load(2), 2);
    }
    CHECK(pace.estimate(0) >= duration{550});
    CHECK(pace.full_speed_loads() == Approx(8));
}

TEST_CASE("one slow load changes little") {
    load_time_estimator pace({});
    pace.on_load(duration{5'000}, 8);
    CHECK(pace.estimate(7) < duration{300});
}

TEST_CASE("load: requests aren't refused for loads that the store carries at full speed") {
    dispatcher_fixture with;
    // 40 loads under way, each done in 250 ms.
    std::uint64_t sequence = 10;
    const auto busy_state = [&](std::uint64_t loads_done) {
        std::vector<adapter_status> loading;
        loading.reserve(40);
        for (int i = 0; i < 40; ++i) {
            loading.push_back({{"m/b" + std::to_string(i), 1}, true, 0});
        }
        auto state = engine_with(loading, ++sequence);
        state.available_adapter_slots = 2;
        state.cold_loads = loads_done;
        state.last_cold_load = duration{250};
        return state;
    };
    const auto first_estimate = [&](std::int64_t ms) {
        with.arrive(profile_of("/plan/x", "a" + std::to_string(ms)), ms);
        const auto* wait = with.only<wait_for_weights>();
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
