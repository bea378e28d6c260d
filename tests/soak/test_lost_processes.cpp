// Runs the real programs, kills all of them at once while streams are open, and takes the streams
// up again. Steps are deterministic; LOST_PROCESSES_PROGRAMS is a folder with the programs of
// another build, and LOST_PROCESSES_KEEP_LOGS keeps the logs of a run that passed.
#include "lost_rule.h"
#include "stream_fleet.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <string>

using namespace camphorgrade;
using namespace camphorgrade::soak;

namespace {

/** In this time, a checkpoint is written after the store has dropped its changes: a quarter of the
    time for which the programs' settings say that it keeps them, and a margin. */
constexpr duration checkpoint_time{7'000};
constexpr duration begin_time{1'500}; /**< Until streams have begun. */
constexpr duration down_time{500};
/** From this time after their start on, processes count as in touch; with a margin. */
constexpr duration in_touch_time{3'300};
constexpr int adapters_per_engine = 3;
constexpr std::size_t max_crossed = 2;

std::string variable(const char* name) {
    const char* value = std::getenv(name);
    return value == nullptr ? "" : value;
}

stream_fleet_settings settings() {
    stream_fleet_settings out;
    out.program_folder = variable("LOST_PROCESSES_PROGRAMS");
    out.keeps_logs = !variable("LOST_PROCESSES_KEEP_LOGS").empty();
    return out;
}

enum class loss : std::uint8_t { all_processes, all_entries, all_processes_twice };

void kill(stream_fleet& world, loss what) {
    if (what == loss::all_entries) {
        world.kill_entries(down_time);
        return;
    }
    world.kill_all(down_time);
    if (what == loss::all_processes_twice) {
        world.advance(down_time + duration{2'000});
        world.kill_all(down_time);
    }
}

void check_loss(loss what, int versions) {
    stream_fleet world(settings());
    REQUIRE(world.start());
    const int adapters = versions * world.first_engines() * adapters_per_engine;
    if (versions == 2) {
        world.start_second_version();
        REQUIRE(world.learn_second_version(world.all_entries()));
    }
    world.begin_streams(world.all_entries(), 0, adapters); // loads the adapters
    world.finish_streams();
    world.forget_store_history();
    world.advance(checkpoint_time);
    world.begin_streams(world.all_entries(), 0, adapters);
    world.advance(begin_time);
    kill(world, what);
    world.advance(down_time);
    REQUIRE(world.await_ready());
    world.advance(in_touch_time);
    world.resume_streams(world.all_entries());
    const auto result = world.count();
    const auto violations = world.violations().size();
    world.finish_streams();
    world.begin_streams(world.all_entries(), 0, adapters);
    world.await_streams();
    const lost_figures seen{result.resumed, result.continued, world.stream_count(),
                            world.count_begun()};
    std::cout << versions << " version(s), " << to_string(seen) << ", crossed " << result.crossed
              << std::endl;
    INFO("logs in " << world.folder() << ": " << to_string(seen));
    CHECK(seen.taken_up >= min_judged_streams);
    CHECK_FALSE(breaks_lost_rule(seen));
    CHECK(result.crossed <= max_crossed);
    CHECK(violations == 0);
    world.set_done(!breaks_lost_rule(seen) && result.crossed <= max_crossed && violations == 0);
}

} // namespace

// Guards against the incident LOST (lost-1.md): what tells at which version a stream goes on lived
// only in processes that were all killed.
TEST_CASE("streams go on after all processes were killed at once") {
    check_loss(GENERATE(loss::all_processes, loss::all_processes_twice), GENERATE(1, 2));
}

TEST_CASE("streams of two versions go on after all entries were killed at once") {
    check_loss(loss::all_entries, 2);
}
