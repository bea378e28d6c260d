// All processes of the system are killed at once while streams are open. LOST_FLEET_SEEDS sets the
// number of seeds.
#include "lost_fleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace camphorgrade;
using namespace camphorgrade::entry;
using namespace camphorgrade::entry::testing;

namespace {

// At most two streams may cross versions, and at least half of those that callers resume go on.
constexpr std::size_t max_crossed = 2;

std::uint64_t seed_count() {
    constexpr std::uint64_t usual = 2;
    const auto* wanted = std::getenv("LOST_FLEET_SEEDS");
    return wanted == nullptr ? usual : std::strtoull(wanted, nullptr, 10);
}

enum class expected : std::uint8_t {
    all,    /**< Streams go on. */
    half,   /**< At least. */
    nothing /**< Not judged. */
};

void check(lost_fleet_script script, expected go_on) {
    for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
        script.seed = seed;
        const auto result = lost_fleet(script).play();
        CAPTURE(script.gateways, script.versions, script.kills, script.down_time.count(), seed,
                result.resumed, result.continued, result.crossed, result.refusals, result.writes);
        CHECK(result.resumed > script.streams / 2);
        CHECK(result.begun_later > script.streams / 2);
        CHECK(result.crossed <= max_crossed);
        if (go_on == expected::all) {
            CHECK(result.continued == result.resumed);
        } else if (go_on == expected::half) {
            CHECK(2 * result.continued >= result.resumed);
        }
    }
}

} // namespace

// Guards against the incident LOST (lost-1.md): the history of software versions lived in the
// processes that were killed, so no stream could be resumed until it had been gathered anew.
TEST_CASE("streams of the only version go on after the loss of all processes") {
    lost_fleet_script script;
    script.gateways = GENERATE(as<std::size_t>{}, 1, 2, 4, 16, 60);
    script.down_time = duration{GENERATE(300, 1'000, 3'000)};
    check(script, expected::all);
}

TEST_CASE("streams of the only version go on after two losses in a row") {
    lost_fleet_script script;
    script.gateways = GENERATE(as<std::size_t>{}, 1, 4, 16);
    script.kills = 2;
    check(script, expected::all);
}

TEST_CASE("streams of the only version go on if the store takes no records but has its history") {
    lost_fleet_script script;
    script.store_age = duration{5'000};
    script.takes_writes = false;
    check(script, expected::all);
}

TEST_CASE("streams go on although the store refuses writes at times, or loses their answers") {
    lost_fleet_script script;
    script.versions = GENERATE(as<std::size_t>{}, 1, 2);
    script.gateways = GENERATE(as<std::size_t>{}, 1, 4, 16);
    script.refused_write_share = 0.3;
    script.lost_answer_share = 0.2;
    check(script, script.versions == 1 ? expected::all : expected::half);
}

TEST_CASE("streams go on after the loss of all processes during an outage of the store") {
    lost_fleet_script script;
    script.versions = GENERATE(as<std::size_t>{}, 1, 2);
    script.store_outage = duration{3'000};
    check(script, script.versions == 1 ? expected::all : expected::half);
}

TEST_CASE("a store without records and history costs knowledge, and no stream crosses") {
    lost_fleet_script script;
    script.versions = GENERATE(as<std::size_t>{}, 1, 2);
    script.takes_writes = false;
    check(script, expected::nothing);
}

// Guards against callers that are told to come back soon, again and again, for nothing.
TEST_CASE("a caller whose stream can't be known before its deadline is refused once") {
    lost_fleet_script script;
    script.gateways = GENERATE(as<std::size_t>{}, 1, 4, 16);
    script.takes_writes = false;
    const auto result = lost_fleet(script).play();
    CHECK(result.continued == 0);
    CHECK(result.refusals == result.resumed);
    CHECK(result.last_retry_after >= duration{10'000}); // the caller's time
}

// Guards against the same cause on a related path: the origins of streams lived in gateways alone.
TEST_CASE("streams of two versions go on at their own after the loss of all gateways") {
    lost_fleet_script script;
    script.gateways = GENERATE(as<std::size_t>{}, 1, 2, 4, 16, 60);
    script.versions = GENERATE(as<std::size_t>{}, 2, 3);
    script.kills_agents = GENERATE(false, true);
    check(script, expected::half);
}

TEST_CASE("no stream of two versions is lost for good by two losses in a row") {
    lost_fleet_script script;
    script.gateways = GENERATE(as<std::size_t>{}, 1, 4, 16);
    script.versions = 2;
    script.kills = 2;
    check(script, expected::half);
}

TEST_CASE("no stream crosses when a version leaves around the loss of all processes") {
    lost_fleet_script script;
    script.gateways = GENERATE(as<std::size_t>{}, 1, 4, 16);
    script.versions = 2;
    script.first_version_leaves = GENERATE(moment::before, moment::while_down, moment::after);
    script.takes_writes = GENERATE(true, false);
    script.store_age = duration{GENERATE(5'000, 30'000)};
    check(script, expected::nothing);
}

TEST_CASE("streams go on, and none crosses, when a version joins around the loss of all") {
    lost_fleet_script script;
    script.gateways = GENERATE(as<std::size_t>{}, 1, 4, 16);
    script.versions = 2;
    script.second_version_joins = GENERATE(moment::before, moment::while_down, moment::after);
    check(script, expected::nothing);
}

TEST_CASE("no stream crosses services when a route moves around the loss of all processes") {
    lost_fleet_script script;
    script.gateways = GENERATE(as<std::size_t>{}, 1, 4, 16);
    script.route_moves = GENERATE(moment::before, moment::while_down, moment::after);
    script.takes_writes = GENERATE(true, false);
    script.store_age = duration{GENERATE(5'000, 30'000)};
    check(script, expected::nothing);
}

TEST_CASE("no stream crosses when the store comes back from an older copy at the same time") {
    lost_fleet_script script;
    script.versions = 2;
    script.first_version_leaves = GENERATE(moment::never, moment::before, moment::while_down);
    script.store_returns = moment::while_down;
    check(script, expected::nothing);
}

// Guards against a checkpoint of another era that is believed: what served in the seconds that the
// store has lost is neither in it nor in the changes since.
TEST_CASE("no stream crosses when the store has lost the version that began it") {
    lost_fleet_script script;
    script.gateways = GENERATE(as<std::size_t>{}, 1, 4, 16);
    script.versions = 2;
    script.is_second_version_lost = true;
    script.store_returns = moment::while_down;
    script.takes_writes = GENERATE(true, false);
    script.store_age = duration{GENERATE(5'000, 30'000)};
    check(script, expected::nothing);
}
