// Runs the real programs while the store is turned away from some entries or from all, and takes
// streams up again that broke meanwhile. Steps are deterministic; OLD_VIEWS_ENTRIES and
// OLD_VIEWS_ENGINES (of each software version) set the size, and OLD_VIEWS_PROGRAMS a folder with
// the programs of another build. OLD_VIEWS_KEEP_LOGS keeps the logs of a run that passed.
#include "stream_fleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <string>

using namespace camphorgrade;
using namespace camphorgrade::soak;

namespace {

/** Registrations of this age are old for the programs, with a margin. */
constexpr duration old_view_time{3'500};
constexpr duration begin_time{1'500}; /**< Until streams have begun. */
constexpr std::size_t max_crossed = 2;
constexpr std::size_t min_begun = 10;
// The smallest fleet with relays has 17 entries. In a smaller one, each entry that the store has
// turned away reads a peer's registrations, and no stream crossed with the programs from before the
// fix.
constexpr int default_entries = 18;
constexpr int default_engines = 3;
constexpr int adapters_per_engine = 3;

std::string variable(const char* name) {
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

int number(const char* name, int otherwise) {
    const auto text = variable(name);
    return text.empty() ? otherwise : std::stoi(text);
}

stream_fleet_settings settings() {
    return {number("OLD_VIEWS_ENTRIES", default_entries),
            number("OLD_VIEWS_ENGINES", default_engines), variable("OLD_VIEWS_PROGRAMS"),
            !variable("OLD_VIEWS_KEEP_LOGS").empty()};
}

/** One line with the figures of a case. */
std::string summary(const std::string& name, const stream_counts& result) {
    auto out = name + ": resumed " + std::to_string(result.resumed) + ", continued " +
               std::to_string(result.continued) + ", crossed " + std::to_string(result.crossed) +
               ", refused for good " + std::to_string(result.refused_for_good) + ", begun";
    for (const auto& [version, count] : result.begun) {
        out += ' ' + version + ' ' + std::to_string(count) + " (continued " +
               std::to_string(result.continued_of.at(version)) + ')';
    }
    return out;
}

/** Loads the adapters of the first version's engines. */
void warm_up(stream_fleet& world) {
    world.begin_streams(world.all_entries(), 0, world.first_engines() * adapters_per_engine);
    world.finish_streams();
}

} // namespace

// Guards against the incident ORDER of the BTS deployments (order-7.md): an entry that the store
// had turned away took the only version of its old registrations for the only one that served.
TEST_CASE("entries that the store has turned away don't continue streams at another version") {
    stream_fleet world(settings());
    REQUIRE(world.start());
    warm_up(world);
    const auto late = world.third_of_entries();
    const auto others = world.all_but(late);
    world.cut_off_from_store(late);
    world.start_second_version();
    REQUIRE(world.learn_second_version(others));
    world.advance(old_view_time);
    // Adapters of both versions' engines, so that streams begin at each.
    world.begin_streams(others, 0, 2 * world.first_engines() * adapters_per_engine);
    world.advance(begin_time);
    const auto informed = world.informed(late);
    world.break_streams(others, true);
    world.resume_streams(late);
    auto result = world.count();
    std::cout << summary("turned away from a third", result) << "; " << informed << " of "
              << late.size() << " know the second version's servers" << std::endl;
    INFO("logs in " << world.folder());
    CAPTURE(result.resumed, result.continued, result.crossed, world.violations());
    CHECK(4 * result.begun["v2"] >= result.resumed); // otherwise few could cross
    CHECK(result.begun["v1"] >= min_begun);
    CHECK(result.crossed <= max_crossed);
    CHECK(10 * result.continued_of["v1"] >= 9 * result.begun["v1"]);
    CHECK(10 * result.continued_of["v2"] >= 9 * result.begun["v2"]);
    CHECK(world.violations().empty());
    world.set_done(result.crossed <= max_crossed && world.violations().empty());
}

// Guards against the opposite: streams are refused as long as the store responds to nobody,
// although nothing can have changed.
TEST_CASE("streams of the only version go on while the store responds to nobody") {
    stream_fleet world(settings());
    REQUIRE(world.start());
    warm_up(world);
    world.cut_off_from_store(world.all_entries());
    world.advance(old_view_time);
    world.begin_streams(world.all_entries(), 0, world.first_engines() * adapters_per_engine);
    world.advance(begin_time);
    world.break_streams(world.all_entries(), false);
    world.resume_streams(world.all_entries());
    const auto result = world.count();
    std::cout << summary("away for all", result) << std::endl;
    INFO("logs in " << world.folder());
    CAPTURE(result.resumed, result.continued, result.crossed, world.violations());
    CHECK(result.resumed >= min_begun);
    CHECK(10 * result.continued >= 9 * result.resumed);
    CHECK(result.crossed <= max_crossed);
    CHECK(world.violations().empty());
    world.set_done(10 * result.continued >= 9 * result.resumed && world.violations().empty());
}
