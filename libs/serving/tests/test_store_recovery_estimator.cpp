#include "serving_fixture.h"

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

/** Retry-After of a request that is refused at `ms`. */
duration retry_after_at(dispatcher& decisions, std::int64_t ms, end_reason expected) {
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
    store_recovery_estimator estimator({});
    estimator.on_start(at_ms(1'000));
    CHECK(estimator.complete_by(at_ms(1'000)) == at_ms(1'250));
    estimator.on_contact(false, at_ms(1'100));
    CHECK(estimator.complete_by(at_ms(3'000)) == at_ms(5'000));
    estimator.on_contact(false, at_ms(20'000));
    CHECK(estimator.complete_by(at_ms(20'000)) == at_ms(25'000));
    estimator.on_contact(true, at_ms(20'500));
    CHECK(estimator.complete_by(at_ms(20'500)) == at_ms(22'700));
    CHECK(estimator.complete_by(at_ms(30'000)) == at_ms(30'000));
    estimator.on_contact(false, at_ms(31'000));
    CHECK(estimator.complete_by(at_ms(31'500)) == at_ms(36'500));
}

TEST_CASE("after a response of the store at startup there is nothing to wait for") {
    store_recovery_estimator estimator({});
    estimator.on_start(at_ms(0));
    estimator.on_contact(true, at_ms(20));
    CHECK(estimator.complete_by(at_ms(300)) == at_ms(300));
}

TEST_CASE(
    "load: after a start in an outage, Retry-After lasts until servers have registered again") {
    dispatcher decisions({}, "dc-1", 7);
    decisions.store_recovery().on_start(at_ms(0));
    decisions.store_recovery().on_contact(false, at_ms(100));
    for (std::int64_t ms = 200; ms < 2'000; ms += 20) {
        CHECK(retry_after_at(decisions, ms, end_reason::no_catalogue) >= duration{ms});
    }
    decisions.store_recovery().on_contact(true, at_ms(2'000));
    decisions.set_catalogue(small_catalogue(), at_ms(2'000));
    for (std::int64_t ms = 2'000; ms < 4'000; ms += 20) {
        const auto until_reregistration = duration{2'000 + 2'200 - ms};
        const auto wait = retry_after_at(decisions, ms, end_reason::no_backend);
        CHECK(wait >= until_reregistration);
        CHECK(wait <= until_reregistration * 3 / 2 + duration{450});
    }
}

TEST_CASE("a store that has not responded to a starting process counts as unreachable") {
    store_recovery_estimator estimator({});
    estimator.on_start(at_ms(0));
    CHECK(estimator.complete_by(at_ms(1'500)) == at_ms(3'000));
    estimator.on_contact(true, at_ms(1'600));
    CHECK(estimator.complete_by(at_ms(1'600)) == at_ms(1'600));
}

TEST_CASE(
    "load: while calls of a starting gateway hang, Retry-After covers at least the time so far") {
    dispatcher decisions({}, "dc-1", 7);
    decisions.store_recovery().on_start(at_ms(0));
    for (std::int64_t ms = 500; ms < 2'000; ms += 20) {
        CHECK(retry_after_at(decisions, ms, end_reason::no_catalogue) >= duration{ms});
    }
}
