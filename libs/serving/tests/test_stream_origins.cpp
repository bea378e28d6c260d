#include "origin_fleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace camphorgrade;
using namespace camphorgrade::serving;
using namespace camphorgrade::testing;

namespace {

// At most two streams may cross versions, and at least half of those that callers resume go on.
constexpr std::size_t max_crossed = 2;

std::uint64_t seed_count() {
    constexpr std::uint64_t usual = 3;
    const auto* wanted = std::getenv("ORIGIN_FLEET_SEEDS");
    return wanted == nullptr ? usual : std::strtoull(wanted, nullptr, 10);
}

origin_fleet_result play(const origin_fleet_script& script) {
    return origin_fleet(script).play();
}

} // namespace

TEST_CASE("streams go on at their version at any gateway, also when gateways die") {
    origin_fleet_script script;
    script.gateways = GENERATE(as<std::size_t>{}, 1, 2, 4, 16);
    script.versions = GENERATE(as<std::size_t>{}, 2, 3);
    script.begins_as_one_version = GENERATE(false, true);
    script.killed_share = GENERATE(0.0, 0.25, 0.5, 0.75);
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        script.seed = seed;
        const auto result = play(script);
        CAPTURE(script.gateways, script.versions, script.begins_as_one_version, script.killed_share,
                seed, result.continued, result.resumed);
        CHECK(result.crossed <= max_crossed);
        CHECK(2 * result.continued >= result.resumed);
    }
}

TEST_CASE("no stream crosses versions when all gateways die at once") {
    origin_fleet_script script;
    script.gateways = GENERATE(as<std::size_t>{}, 1, 4, 16);
    script.versions = GENERATE(as<std::size_t>{}, 2, 3);
    script.killed_share = 1;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        script.seed = seed;
        CHECK(play(script).crossed <= max_crossed);
    }
}

TEST_CASE("nothing is sent about streams while one version serves, and all of them go on") {
    origin_fleet_script script;
    script.versions = 1;
    script.killed_share = 0.5;
    const auto result = play(script);
    CHECK(result.messages == 0);
    CHECK(result.continued == result.resumed);
}

// Guards against the review's case 1: a gateway that had just started took the one version that it
// saw for the only one that had served, and continued streams of the other.
TEST_CASE("a gateway that has just started doesn't continue streams of a version that has left") {
    origin_fleet_script script;
    script.gateways = GENERATE(as<std::size_t>{}, 1, 2, 4, 16, 60);
    script.names_streams = GENERATE(true, false);
    script.killed_share = GENERATE(0.25, 0.5, 1.0);
    script.first_version_leaves = true;
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        script.seed = seed;
        const auto result = play(script);
        CAPTURE(script.gateways, script.names_streams, script.killed_share, seed, result.continued,
                result.resumed);
        CHECK(result.crossed <= max_crossed);
    }
}

// Guards against the opposite of the case above: streams are refused although one version alone
// has ever served, because the gateways that know it aren't asked.
TEST_CASE("gateways that have just started continue streams if one version alone has served") {
    origin_fleet_script script;
    script.versions = 1;
    script.gateways = GENERATE(as<std::size_t>{}, 1, 2, 4, 16, 60);
    script.names_streams = GENERATE(true, false);
    script.killed_share = GENERATE(0.25, 0.5, 1.0);
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        script.seed = seed;
        const auto result = play(script);
        CAPTURE(script.gateways, script.names_streams, script.killed_share, seed, result.continued,
                result.resumed);
        CHECK(result.continued == result.resumed);
    }
}

TEST_CASE("an origin is forgotten after its time, and the oldest first when there are too many") {
    stream_origins_settings settings;
    settings.lifetime = duration{1'000};
    settings.max_streams = 2;
    stream_origins origins(settings);
    const auto at = [](std::int64_t ms) { return time_point{duration{ms}}; };
    origins.on_begun(1, {"s", "v1"}, at(0));
    origins.on_begun(2, {"s", "v2"}, at(10));
    origins.on_begun(1, {"s", "other"}, at(20));
    CHECK(origins.find(1, at(30)) == stream_origin{"s", "v1"});
    origins.on_begun(3, {"s", "v3"}, at(30));
    CHECK_FALSE(origins.find(2, at(30)));
    CHECK(origins.find(1, at(30)));
    CHECK_FALSE(origins.find(3, at(1'030)));
}
