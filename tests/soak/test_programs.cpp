// Runs the real programs with the simulated store and backend servers, without random faults.
#include "soak_world.h"

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::soak;

namespace {

constexpr duration step{50};

struct world_fixture {
    world_fixture() { world.start(); }
    ~world_fixture() {
        for (auto* each : world.processes()) {
            each->kill(clock.now(), duration{60'000});
        }
    }

    bool is_ready(std::size_t entry) const {
        return fetch_page(world.readiness_endpoint(entry), "/readiness").status == 200;
    }

    template <typename Done>
    bool advance_until(Done is_done, duration timeout) {
        const auto end = clock.now() + timeout;
        while (!is_done() && clock.now() < end) {
            loop.run_for(step);
            world.poll();
        }
        return is_done();
    }

    monotonic_clock clock;
    boost::asio::io_context loop;
    ledger request_ledger{{}};
    soak_world world{loop, clock, 1, {2, 1, 1}, request_ledger};
};

} // namespace

TEST_CASE("an entry serves its metrics on the metrics address") {
    world_fixture fixture;
    REQUIRE(fixture.advance_until([&] { return fixture.is_ready(0); }, duration{5'000}));
    const auto page = fetch_page(fixture.world.metrics_endpoint(0), "/metrics");
    CHECK(page.status == 200);
    CHECK(page.body.find("camphor_store_age_ms") != std::string::npos);
}

TEST_CASE("an entry that starts while the store is unreachable gets its state from a peer") {
    world_fixture fixture;
    auto& world = fixture.world;
    REQUIRE(fixture.advance_until([&] { return fixture.is_ready(0) && fixture.is_ready(1); },
                                  duration{5'000}));
    world.entries()[1].process->kill(fixture.clock.now(), duration{100});
    world.entries()[1].store_link->stall(direction::both);
    REQUIRE(fixture.advance_until([&] { return world.all_running(); }, duration{5'000}));
    CHECK(fixture.advance_until([&] { return fixture.is_ready(1); }, duration{4'000}));
}
