#include "parts_model.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

constexpr std::size_t max_late_bad_sends = 3;
// Two reports, of the crash and of the starts, then come within min_suspicion.
constexpr duration max_prompt_delay{150};
// Share of the sound requests of a play that may be held for a moment.
constexpr double max_held_share = 0.02;

/** Seeds for each kind of script; more by hand: PARTS_MODEL_SEEDS. */
std::uint64_t seeds(std::uint64_t usual) {
    const char* wanted = std::getenv("PARTS_MODEL_SEEDS");
    return wanted == nullptr ? usual : std::strtoull(wanted, nullptr, 10);
}

/** A script that differs in everything that the decision may depend on. */
parts_model_script script_of(std::uint64_t seed) {
    random_source draw(seed * 7'919);
    parts_model_script script;
    script.seed = seed;
    const std::vector<std::size_t> gateways{1, 2, 8, 24};
    script.gateways = gateways[draw.below(gateways.size())];
    script.servers = 6 + draw.below(20);
    script.batch = std::size_t{8} << draw.below(4);
    script.documents = 20 + draw.below(400);
    script.requests_per_s = static_cast<double>(20 + draw.below(120));
    script.bad_share = 0.02 + 0.28 * draw.unit();
    script.report_delay = duration{100 + static_cast<duration::rep>(draw.below(1'900))};
    script.max_begin_delay = duration{50 + static_cast<duration::rep>(draw.below(950))};
    return script;
}

struct tally {
    std::size_t plays = 0;
    std::size_t held_plays = 0; /**< Plays in which a sound request was refused as held. */
    std::size_t sound = 0;
    std::size_t sound_held = 0;
    std::size_t held_at_end = 0;
    std::size_t most_late_bad = 0;
    std::vector<std::size_t> crashes;

    void add(const parts_model_result& result) {
        ++plays;
        held_plays += result.sound_held > 0 ? 1 : 0;
        sound += result.sound;
        sound_held += result.sound_held;
        held_at_end += result.sound_held_at_end > 0 ? 1 : 0;
        most_late_bad = std::max(most_late_bad, result.late_bad_sends);
        crashes.push_back(result.crashes);
    }

    void print(const char* what) {
        std::sort(crashes.begin(), crashes.end());
        std::cout << what << ": plays " << plays << ", crashes median "
                  << crashes[crashes.size() / 2] << " most " << crashes.back()
                  << ", late bad sends most " << most_late_bad << ", sound requests held "
                  << sound_held << " of " << sound << " in " << held_plays
                  << " plays, at the end in " << held_at_end << '\n';
    }
};

tally check_bounds(std::uint64_t count, bool is_sound_before) {
    tally all;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        auto script = script_of(seed);
        script.is_sound_before = is_sound_before;
        CAPTURE(seed, script.gateways, script.servers, script.batch, script.requests_per_s,
                script.bad_share, script.report_delay.count(), script.max_begin_delay.count());
        const auto result = parts_model(script).play();
        CAPTURE(result.crashes, result.late_sound, result.late_sound_begun);
        CHECK(result.late_bad_sends <= max_late_bad_sends);
        CHECK(2 * result.late_sound_begun >= result.late_sound);
        all.add(result);
    }
    return all;
}

tally check_nothing_held(std::uint64_t count, model_trouble trouble) {
    tally all;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        auto script = script_of(seed);
        script.bad_share = 0;
        script.trouble = trouble;
        script.report_delay = seed % 2 == 0 ? max_prompt_delay : script.report_delay;
        script.troubled_share = 0.3 + 0.1 * static_cast<double>(seed % 4);
        CAPTURE(seed, script.gateways, script.servers, script.batch, script.requests_per_s,
                script.documents, script.report_delay.count(), script.max_begin_delay.count());
        const auto result = parts_model(script).play();
        // Counts of good starts that come later than min_suspicion can only end a hold, and so can
        // answers after a gateway was cut off from all servers.
        const bool is_transient =
            script.report_delay > max_prompt_delay || trouble == model_trouble::cut_gateway;
        CHECK((is_transient ? result.sound_held_at_end : result.sound_held) == 0);
        CHECK(static_cast<double>(result.sound_held) <=
              max_held_share * static_cast<double>(result.sound));
        all.add(result);
    }
    return all;
}

} // namespace

TEST_CASE("after five crashes a bad part is stopped and sound requests begin") {
    check_bounds(seeds(80), false).print("bad part");
}

TEST_CASE("a part that turns bad after good starts is stopped as well") {
    check_bounds(seeds(60), true).print("part turned bad");
}

TEST_CASE("a bad part is stopped in a fleet of 380 gateways") {
    parts_model_script script;
    script.gateways = 380;
    script.servers = 60;
    script.batch = 64;
    script.requests_per_s = 400;
    script.complete_interval = duration{2'000};
    script.report_interval = duration{1'000};
    script.report_delay = duration{600};
    script.stable_time = duration{5'000};
    script.bad_from = duration{2'000};
    script.end = duration{13'000};
    const auto result = parts_model(script).play();
    CAPTURE(result.crashes, result.late_sound, result.late_sound_begun);
    CHECK(result.crashes >= 5);
    CHECK(result.late_bad_sends <= max_late_bad_sends);
    CHECK(2 * result.late_sound_begun >= result.late_sound);
}

TEST_CASE("no part is held when many servers crash at one moment") {
    check_nothing_held(seeds(100), model_trouble::mass_crash).print("mass crash");
}

TEST_CASE("no part is held when connections are reset") {
    check_nothing_held(seeds(100), model_trouble::connection_resets).print("resets");
}

TEST_CASE("no part is held when one gateway is cut off") {
    check_nothing_held(seeds(100), model_trouble::cut_gateway).print("cut gateway");
}
