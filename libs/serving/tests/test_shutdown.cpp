// The shutdown of a gateway: each request ends in time, and truly as run or not run.
#include "serving_fixture.h"

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

void tick(dispatcher_fixture& fixture, std::int64_t ms) {
    fixture.decisions.tick(at_ms(ms));
    fixture.effects = fixture.decisions.take_effects();
}

bool ends_as(const dispatcher_fixture& fixture, end_reason reason) {
    const auto* ended = fixture.only<end_request>();
    return ended != nullptr && ended->reason == reason && ended->retry_after > duration::zero();
}

} // namespace

TEST_CASE(
    "shutdown: a request at a server ends in time as perhaps run, and the server isn't blamed") {
    dispatcher_fixture fixture;
    fixture.decisions.on_engine_state("engine-1", engine_with({{{"m/a1", 1}, false, 0}}, 2),
                                      at_ms(0));
    fixture.arrive(profile_of("/plan/1", "a1"), 0);
    const auto* sent = fixture.only<send_attempt>();
    REQUIRE(sent != nullptr);
    const auto server = sent->backend_id;
    const auto answer_by = dispatcher_settings{}.first_byte_timeout.count();
    fixture.decisions.begin_shutdown(at_ms(answer_by));
    tick(fixture, answer_by - 1);
    CHECK(fixture.effects.empty());
    tick(fixture, answer_by);
    CHECK(ends_as(fixture, end_reason::timed_out_sent));
    CHECK(fixture.decisions.backends().find(server)->failure_rate == 0);
}

TEST_CASE("shutdown: a new request has no more time than is left") {
    dispatcher_fixture fixture;
    fixture.decisions.begin_shutdown(at_ms(1'500));
    const auto limited = fixture.arrive(profile_of("/read/1"), 100);
    CHECK(fixture.only<send_attempt>() != nullptr);
    CHECK(fixture.decisions.deadline_of(limited) == at_ms(1'500));
    auto hurried = profile_of("/read/2");
    hurried.deadline = duration{200};
    const auto own = fixture.arrive(hurried, 100);
    CHECK(fixture.decisions.deadline_of(own) == at_ms(300));
}

TEST_CASE("shutdown: a new request that can't be answered in time is refused at once as not run") {
    dispatcher_fixture fixture;
    fixture.decisions.begin_shutdown(at_ms(1'000));
    fixture.arrive(profile_of("/read/1"), 970);
    CHECK(ends_as(fixture, end_reason::shutting_down));
    fixture.arrive(profile_of("/plan/1", "a1"), 900);
    CHECK(ends_as(fixture, end_reason::shutting_down));
}

TEST_CASE("shutdown: a waiting request is refused as not run once it can't start in time") {
    dispatcher_fixture fixture;
    fixture.arrive(profile_of("/plan/1", "a1"), 0);
    REQUIRE(fixture.only<wait_for_backend>() != nullptr);
    fixture.decisions.begin_shutdown(at_ms(500));
    tick(fixture, 400);
    CHECK(ends_as(fixture, end_reason::shutting_down));
    CHECK(fixture.decisions.waiting_requests() == 0);
}

TEST_CASE("shutdown: weights that are loaded too late start no run") {
    dispatcher_fixture fixture;
    fixture.arrive(profile_of("/plan/1", "a1"), 0);
    const auto* waiting = fixture.only<wait_for_backend>();
    REQUIRE(waiting != nullptr);
    const auto engine = waiting->backend_id;
    fixture.decisions.begin_shutdown(at_ms(330));
    fixture.decisions.on_engine_state(engine, engine_with({{{"m/a1", 1}, false, 0}}, 2),
                                      at_ms(320));
    fixture.effects = fixture.decisions.take_effects();
    CHECK(ends_as(fixture, end_reason::shutting_down));
}

TEST_CASE("shutdown: a request that may have run is never reported as not run") {
    dispatcher_fixture fixture;
    const auto id = fixture.arrive(profile_of("/read/1"), 0);
    fixture.decisions.begin_shutdown(at_ms(1'000));
    fixture.ended(id, attempt_outcome::invalid_response, 980);
    CHECK(ends_as(fixture, end_reason::invalid_response));
}
