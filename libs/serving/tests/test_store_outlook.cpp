#include "serving_fixture.h"

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

/** Retry-After of a request that is refused at `ms`. */
duration told(dispatcher& decisions, std::int64_t ms, end_reason expected) {
    decisions.arrive(profile_of("/book/1"), 42, at_ms(ms));
    const auto effects = decisions.take_effects();
    REQUIRE(effects.size() == 1);
    const auto* ended = std::get_if<end_request>(&effects.front());
    REQUIRE(ended != nullptr);
    CHECK(ended->reason == expected);
    return ended->retry_after;
}

} // namespace

TEST_CASE("an outage is expected to last as long again as it has lasted") {
    store_outlook outlook({});
    outlook.begin(at_ms(1'000));
    CHECK(outlook.complete_by(at_ms(1'000)) == at_ms(1'250));
    outlook.on_contact(false, at_ms(1'100));
    CHECK(outlook.complete_by(at_ms(3'000)) == at_ms(5'000));
    outlook.on_contact(false, at_ms(20'000));
    CHECK(outlook.complete_by(at_ms(20'000)) == at_ms(25'000));
    outlook.on_contact(true, at_ms(20'500));
    CHECK(outlook.complete_by(at_ms(20'500)) == at_ms(22'700));
    CHECK(outlook.complete_by(at_ms(30'000)) == at_ms(30'000));
    outlook.on_contact(false, at_ms(31'000));
    CHECK(outlook.complete_by(at_ms(31'500)) == at_ms(36'500));
}

TEST_CASE("a store that answers at once leaves nothing to wait for") {
    store_outlook outlook({});
    outlook.begin(at_ms(0));
    outlook.on_contact(true, at_ms(20));
    CHECK(outlook.complete_by(at_ms(300)) == at_ms(300));
}

TEST_CASE("load: all gateways start in an outage in which registrations lapsed") {
    dispatcher decisions({}, "dc-1", 7);
    decisions.outlook().begin(at_ms(0));
    decisions.outlook().on_contact(false, at_ms(100));
    for (std::int64_t ms = 200; ms < 2'000; ms += 20) {
        CHECK(told(decisions, ms, end_reason::no_catalogue) >= duration{ms});
    }
    decisions.outlook().on_contact(true, at_ms(2'000));
    decisions.set_catalogue(small_catalogue(), at_ms(2'000));
    const auto most_of_wait = duration{1'000}; // half of the route's timeout
    std::int64_t ms = 2'000;
    for (; duration{4'200 - ms} > most_of_wait; ms += 20) {
        const auto servers_are_back = duration{4'200 - ms};
        const auto wait = told(decisions, ms, end_reason::no_backend);
        CHECK(wait >= servers_are_back);
        CHECK(wait <= servers_are_back * 3 / 2 + duration{450});
    }
    std::size_t held = 0;
    for (; ms < 4'200; ms += 20, ++held) {
        decisions.arrive(profile_of("/book/1"), 42, at_ms(ms));
        decisions.tick(at_ms(ms));
        REQUIRE(decisions.take_effects().empty());
    }

    SECTION("a server that registers gets what was held") {
        decisions.board().put(server_of("desk-1", "desk"));
        decisions.tick(at_ms(4'100));
        const auto effects = decisions.take_effects();
        CHECK(effects.size() == held);
        for (const auto& each : effects) {
            CHECK(std::holds_alternative<send_attempt>(each));
        }
    }
    SECTION("once the time to register is over, what was held is refused") {
        decisions.tick(at_ms(4'200));
        const auto effects = decisions.take_effects();
        CHECK(effects.size() == held);
        for (const auto& each : effects) {
            const auto* ended = std::get_if<end_request>(&each);
            REQUIRE(ended != nullptr);
            CHECK(ended->reason == end_reason::no_backend);
        }
    }
}

TEST_CASE("a store that leaves a starting process without an answer counts as out") {
    store_outlook outlook({});
    outlook.begin(at_ms(0));
    CHECK(outlook.due(at_ms(100)) == at_ms(250));
    CHECK(outlook.complete_by(at_ms(1'500)) == at_ms(3'000));
    CHECK_FALSE(outlook.due(at_ms(1'500)));
    outlook.on_contact(true, at_ms(1'600));
    CHECK(outlook.complete_by(at_ms(1'600)) == at_ms(1'600));
}

TEST_CASE("load: while a gateway starts, requests wait for its catalogue") {
    dispatcher decisions({}, "dc-1", 7);
    decisions.outlook().begin(at_ms(0));
    for (std::int64_t ms = 0; ms < 100; ms += 10) {
        decisions.arrive(profile_of("/book/1"), 42, at_ms(ms));
    }
    auto hurried = profile_of("/book/1");
    hurried.deadline = duration{300};
    decisions.arrive(hurried, 42, at_ms(0)); // half of its time ends before
    const auto refused = decisions.take_effects();
    REQUIRE(refused.size() == 1);
    CHECK(std::get<end_request>(refused.front()).reason == end_reason::no_catalogue);

    decisions.outlook().on_contact(true, at_ms(120));
    decisions.set_catalogue(small_catalogue(), at_ms(120));
    decisions.board().put(server_of("desk-1", "desk"));
    decisions.tick(at_ms(150));
    const auto effects = decisions.take_effects();
    CHECK(effects.size() == 10);
    for (const auto& each : effects) {
        CHECK(std::holds_alternative<send_attempt>(each));
    }
}
