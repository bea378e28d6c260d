// The real programs beside the soak's store and servers, without random faults.
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
        return read_page(world.readiness_of(entry), "/readiness").status == 200;
    }

    template <typename Done>
    bool advance_until(Done is_done, duration longest) {
        const auto end = clock.now() + longest;
        while (!is_done() && clock.now() < end) {
            loop.run_for(step);
            world.poll();
        }
        return is_done();
    }

    monotonic_clock clock;
    boost::asio::io_context loop;
    ledger record{{}};
    soak_world world{loop, clock, 1, {2, 1, 1}, record};
};

} // namespace

TEST_CASE("an entry serves its metrics on the metrics address") {
    world_fixture fixture;
    REQUIRE(fixture.advance_until([&] { return fixture.is_ready(0); }, duration{5'000}));
    const auto page = read_page(fixture.world.metrics_of(0), "/metrics");
    CHECK(page.status == 200);
    CHECK(page.body.find("camphor_store_age_ms") != std::string::npos);
}

TEST_CASE("an entry that starts while the store is out of its reach learns all from a peer") {
    world_fixture fixture;
    auto& world = fixture.world;
    REQUIRE(fixture.advance_until([&] { return fixture.is_ready(0) && fixture.is_ready(1); },
                                  duration{5'000}));
    world.entries()[1].process->kill(fixture.clock.now(), duration{100});
    world.entries()[1].store->silence(direction::both);
    REQUIRE(fixture.advance_until([&] { return world.all_run(); }, duration{5'000}));
    CHECK(fixture.advance_until([&] { return fixture.is_ready(1); }, duration{4'000}));
}
