#include "serving_fixture.h"

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

/** Retry-After of a request that is refused at `ms`. */
duration told(dispatcher& decisions, std::int64_t ms, end_reason expected) {
    decisions.on_request(profile_of("/book/1"), 42, at_ms(ms));
    const auto effects = decisions.take_effects();
    REQUIRE(effects.size() == 1);
    const auto* ended = std::get_if<end_request>(&effects.front());
    REQUIRE(ended != nullptr);
    CHECK(ended->reason == expected);
    return ended->retry_after;
}

} // namespace

TEST_CASE("an outage is expected to last as long again as it has lasted") {
    store_recovery_estimator outlook({});
    outlook.on_start(at_ms(1'000));
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
    store_recovery_estimator outlook({});
    outlook.on_start(at_ms(0));
    outlook.on_contact(true, at_ms(20));
    CHECK(outlook.complete_by(at_ms(300)) == at_ms(300));
}

TEST_CASE("load: all gateways start in an outage in which registrations lapsed") {
    dispatcher decisions({}, "dc-1", 7);
    decisions.store_recovery().on_start(at_ms(0));
    decisions.store_recovery().on_contact(false, at_ms(100));
    for (std::int64_t ms = 200; ms < 2'000; ms += 20) {
        CHECK(told(decisions, ms, end_reason::no_catalogue) >= duration{ms});
    }
    decisions.store_recovery().on_contact(true, at_ms(2'000));
    decisions.set_catalogue(small_catalogue(), at_ms(2'000));
    for (std::int64_t ms = 2'000; ms < 4'000; ms += 20) {
        const auto servers_are_back = duration{2'000 + 2'200 - ms};
        const auto wait = told(decisions, ms, end_reason::no_backend);
        CHECK(wait >= servers_are_back);
        CHECK(wait <= servers_are_back * 3 / 2 + duration{450});
    }
}

TEST_CASE("a store that leaves a starting process without an answer counts as out") {
    store_recovery_estimator outlook({});
    outlook.on_start(at_ms(0));
    CHECK(outlook.complete_by(at_ms(1'500)) == at_ms(3'000));
    outlook.on_contact(true, at_ms(1'600));
    CHECK(outlook.complete_by(at_ms(1'600)) == at_ms(1'600));
}

TEST_CASE(
    "load: while calls of a starting gateway hang, refused callers aren't told to return at once") {
    dispatcher decisions({}, "dc-1", 7);
    decisions.store_recovery().on_start(at_ms(0));
    for (std::int64_t ms = 500; ms < 2'000; ms += 20) {
        CHECK(told(decisions, ms, end_reason::no_catalogue) >= duration{ms});
    }
}
