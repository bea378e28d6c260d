// Runs the real programs with backend servers that name a request limit in their responses.
#include "soak_caller.h"
#include "soak_world.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <memory>
#include <set>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::soak;

namespace {

constexpr duration step{20};
constexpr int caller_count = 32;
constexpr duration limit_window{4'000};
// A limit binds from this time after it was first named.
constexpr duration settling_time{3'000};

/** Greatest number of requests that a server with this limit may get in `limit_window`. */
std::size_t allowed_arrivals(double limit_per_s) {
    constexpr double overage = 1.5;
    constexpr double slack = 5;
    constexpr double window_s = 4;
    return static_cast<std::size_t>(overage * window_s * limit_per_s + slack);
}

struct limit_fixture {
    explicit limit_fixture(const soak_sizes& sizes) : world(loop, clock, 1, sizes, request_ledger) {
        world.start();
        REQUIRE(advance_until([this] { return all_ready(); }, duration{15'000}));
        for (int i = 0; i < caller_count; ++i) {
            callers.push_back(std::make_unique<soak_caller>(
                loop, clock, static_cast<std::uint64_t>(1'000 + i), "r" + std::to_string(i),
                world.callers(), request_ledger, timeouts));
            callers.back()->start();
        }
        advance(duration{1'500});
    }

    ~limit_fixture() {
        world.callers().is_stopping = true;
        advance(duration{500});
        for (auto* each : world.processes()) {
            each->kill(clock.now(), duration{60'000});
        }
    }

    bool all_ready() {
        for (std::size_t i = 0; i < world.entries().size(); ++i) {
            if (fetch_page(world.readiness_endpoint(i), "/readiness").status != 200) {
                return false;
            }
        }
        return true;
    }

    void advance(duration time) {
        const auto end = clock.now() + time;
        while (clock.now() < end) {
            loop.run_for(step);
            world.poll();
        }
    }

    template <typename Done>
    bool advance_until(Done is_done, duration timeout) {
        const auto end = clock.now() + timeout;
        while (!is_done() && clock.now() < end) {
            advance(step);
        }
        return is_done();
    }

    soak_backend& backend(std::size_t number) { return *world.backends().at(number).backend; }

    monotonic_clock clock;
    boost::asio::io_context loop;
    ledger request_ledger{{}};
    timeout_counts timeouts;
    soak_world world;
    std::vector<std::unique_ptr<soak_caller>> callers;
};

void check_limit(limit_fixture& fixture, const soak_backend& server, time_point from,
                 const std::set<std::size_t>& excluded = {}) {
    const double limit = server.faults.request_limit.value_or(0);
    const auto most =
        fixture.request_ledger.max_arrivals(server.id(), from, limit_window, excluded);
    INFO(server.id() << " named " << limit << " a second and got " << most << " in 4 s");
    CHECK(most <= allowed_arrivals(limit));
}

void check_use(limit_fixture& fixture, const soak_backend& server, time_point from) {
    constexpr double min_used_share = 0.9;
    const auto now = fixture.clock.now();
    const auto seconds = static_cast<double>((now - from).count()) / 1'000;
    const auto got = fixture.request_ledger.count_arrivals(server.id(), from, now);
    INFO(server.id() << " got " << got << " in " << seconds << " s");
    CHECK(static_cast<double>(got) >=
          min_used_share * server.faults.request_limit.value_or(0) * seconds);
}

} // namespace

TEST_CASE("a backend server gets no more requests than the limit that it names") {
    limit_fixture fixture({4, 2, 2});
    auto& engine = fixture.backend(0);
    auto& desk = fixture.backend(2);
    engine.faults.request_limit = 1.0;
    desk.faults.request_limit = 0.3;
    fixture.advance(settling_time);
    const auto from = fixture.clock.now();
    fixture.advance(duration{8'000});
    check_limit(fixture, engine, from);
    check_limit(fixture, desk, from);
}

TEST_CASE("a service whose servers all name a limit gets it, and no more") {
    limit_fixture fixture({4, 1, 2});
    const std::vector<soak_backend*> desks{&fixture.backend(1), &fixture.backend(2)};
    for (auto* each : desks) {
        each->faults.request_limit = 5.0;
    }
    fixture.advance(settling_time);
    const auto from = fixture.clock.now();
    fixture.advance(duration{8'000});
    for (const auto* each : desks) {
        check_limit(fixture, *each, from);
        check_use(fixture, *each, from);
    }
}

TEST_CASE("a limit is kept by the other gateways while one is killed or paused, then by all") {
    limit_fixture fixture({4, 1, 2});
    const std::vector<soak_backend*> desks{&fixture.backend(1), &fixture.backend(2)};
    for (auto* each : desks) {
        each->faults.request_limit = 5.0;
    }
    fixture.advance(settling_time);
    const auto from = fixture.clock.now();
    auto& gateways = fixture.world.entries();
    gateways[0].process->kill(fixture.clock.now(), duration{500});
    fixture.advance(duration{4'000});
    gateways[1].process->pause(fixture.clock.now(), duration{3'000});
    fixture.advance(duration{4'000});
    for (const auto* each : desks) {
        check_limit(fixture, *each, from, {0, 1});
    }
    fixture.advance(settling_time);
    const auto recovered = fixture.clock.now();
    fixture.advance(duration{6'000});
    for (const auto* each : desks) {
        check_limit(fixture, *each, recovered);
        check_use(fixture, *each, recovered);
    }
}
