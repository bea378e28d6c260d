#include "crashing_fleet.h"

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

// More than three requests with the part may not be sent later than stable_time after the fifth
// crash, and at least half of the sound ones must begin at the first attempt from twice that on.
constexpr std::size_t max_late_bad_sends = 3;

void check_bounds(const crashing_fleet_script& script) {
    CAPTURE(script.gateways, script.report_delay.count(), script.seed);
    const auto result = crashing_fleet(script).play();
    CAPTURE(result.crashes, result.late_sound, result.late_sound_begun);
    CHECK(result.late_bad_sends <= max_late_bad_sends);
    CHECK(2 * result.late_sound_begun >= result.late_sound);
    CHECK(result.untrue_refusals == 0);
}

const std::vector<prompt_part> bad_prompt{{common_part, 1}, {bad_part, 1}, {first_session_part, 1}};
const std::vector<prompt_part> sound_prompt{{common_part, 1}, {first_session_part + 1, 1}};

/** Three processes crash on the bad part from 0 ms on, while sound requests begin elsewhere; the
    part is held at 700 ms. */
void let_crash(crashing_parts& parts) {
    for (std::int64_t i = 0; i < 3; ++i) {
        parts.on_crash(bad_prompt, {"e" + std::to_string(i), 1}, at_ms(i * 100));
        for (int start = 0; start < 4; ++start) {
            parts.on_start(sound_prompt, {"sound", 1}, at_ms(250));
        }
    }
    parts.update(at_ms(700));
}

} // namespace

TEST_CASE("a part is held, the last one of a prompt and shared sound ones are not") {
    crashing_parts parts({});
    let_crash(parts);
    CHECK(parts.held_part(bad_prompt) == bad_part);
    CHECK_FALSE(parts.retry_after(sound_prompt, at_ms(700)));
    CHECK_FALSE(parts.retry_after({{bad_part, 1}}, at_ms(700)));
}

TEST_CASE("one complete report lets a gateway that has just started hold the same part") {
    crashing_parts parts({});
    let_crash(parts);
    crashing_parts newcomer({});
    newcomer.on_report("g1", parts.next_report(true, at_ms(60'000)), at_ms(0));
    newcomer.update(at_ms(600));
    CHECK(newcomer.held_part(bad_prompt) == bad_part);
    CHECK_FALSE(newcomer.retry_after(sound_prompt, at_ms(600)));
}

TEST_CASE("after a hold one gateway tries one request, and a crash prolongs the hold") {
    crashing_parts parts({});
    let_crash(parts);
    const auto over = at_ms(700) + crashing_parts_settings{}.hold;
    parts.update(over - duration{1});
    CHECK_FALSE(parts.try_trial(bad_prompt, over - duration{1}));
    parts.update(over + duration{200});
    parts.set_rank(1, 2); // the part's number is even: the turn of rank 0 is first
    CHECK_FALSE(parts.try_trial(bad_prompt, over + duration{200}));
    parts.set_rank(0, 2);
    CHECK(parts.try_trial(bad_prompt, over + duration{200}));
    CHECK_FALSE(parts.try_trial(bad_prompt, over + duration{300}));
    parts.on_crash(bad_prompt, {"e9", 1}, over + duration{400});
    const auto later = over + 11 * crashing_parts_settings{}.hold;
    parts.update(later);
    CHECK(parts.held_part(bad_prompt) == bad_part);
    CHECK_FALSE(parts.try_trial(bad_prompt, later));
}

TEST_CASE("a trial that is answered clears the part") {
    crashing_parts parts({});
    let_crash(parts);
    const auto over = at_ms(1'000) + crashing_parts_settings{}.hold;
    parts.update(over);
    REQUIRE(parts.try_trial(bad_prompt, over));
    parts.on_start(bad_prompt, {"e9", 1}, over + duration{100});
    parts.update(over + duration{100});
    CHECK_FALSE(parts.held_part(bad_prompt));
}

TEST_CASE("an answer of a process that was reported as crashed disproves the crash") {
    crashing_parts parts({});
    let_crash(parts);
    parts.on_start(sound_prompt, {"e1", 1}, at_ms(800));
    parts.update(at_ms(900));
    CHECK_FALSE(parts.held_part(bad_prompt));
}

TEST_CASE("requests with a part that crashes servers stop and sound ones begin at one gateway") {
    crashing_fleet_script script;
    script.gateways = 1;
    check_bounds(script);
}

TEST_CASE("requests with a part that crashes servers stop and sound ones begin in a fleet") {
    for (const auto delay : {100, 500, 2'000}) {
        crashing_fleet_script script;
        script.report_delay = duration{delay};
        script.seed = 2;
        check_bounds(script);
    }
}

TEST_CASE("a part that was sound before it crashes servers is stopped as well") {
    crashing_fleet_script script;
    script.gateways = 4;
    script.is_sound_before = true;
    script.seed = 3;
    check_bounds(script);
}
