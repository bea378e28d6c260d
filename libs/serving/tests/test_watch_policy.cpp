#include "serving_fixture.h"

#include <serving/registration_tracker.h>
#include <serving/watch_policy.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::testing;

TEST_CASE("a gateway without watching peers watches the store itself") {
    watch_policy policy({});
    CHECK(policy.should_watch(false, at_ms(0)));
    policy.on_peer_update(at_ms(100));
    CHECK(policy.should_watch(false, at_ms(10'000)));
}

TEST_CASE("a gateway stops its watch after a stable period of updates and resumes when they stop") {
    watch_policy policy({});
    std::int64_t ms = 0;
    for (; ms < 3'000; ms += 500) {
        policy.on_peer_update(at_ms(ms));
        CHECK(policy.should_watch(true, at_ms(ms)));
    }
    for (; ms < 8'000; ms += 500) {
        policy.on_peer_update(at_ms(ms));
        CHECK_FALSE(policy.should_watch(true, at_ms(ms)));
    }
    CHECK_FALSE(policy.should_watch(true, at_ms(ms + 1'400)));
    CHECK(policy.should_watch(true, at_ms(ms + 1'500)));
    policy.on_peer_update(at_ms(ms + 1'600));
    CHECK(policy.should_watch(true, at_ms(ms + 1'700)));
}

TEST_CASE("updates of peers that have lost the store expire by the age of their data") {
    watch_policy policy({});
    for (std::int64_t ms = 0; ms <= 5'000; ms += 500) {
        policy.on_peer_update(at_ms(ms));
        static_cast<void>(policy.should_watch(true, at_ms(ms)));
    }
    REQUIRE_FALSE(policy.should_watch(true, at_ms(5'000)));
    for (std::int64_t ms = 5'500; ms < 7'000; ms += 500) {
        // The peers respond, but without newer data from the store.
        policy.on_peer_update(at_ms(5'000));
        CHECK_FALSE(policy.should_watch(true, at_ms(ms)));
    }
    policy.on_peer_update(at_ms(5'000));
    CHECK(policy.should_watch(true, at_ms(7'000)));
}

TEST_CASE("registrations are settled once servers had time to register again") {
    registration_tracker tracker({});
    CHECK_FALSE(tracker.is_settled(at_ms(0)));
    tracker.on_contact(true, at_ms(100));
    CHECK_FALSE(tracker.is_settled(at_ms(2'200)));
    tracker.on_contact(true, at_ms(2'300));
    CHECK(tracker.is_settled(at_ms(2'300)));
    tracker.on_contact(false, at_ms(3'000));
    tracker.on_contact(true, at_ms(6'000));
    CHECK_FALSE(tracker.is_settled(at_ms(8'100)));
    CHECK(tracker.is_settled(at_ms(8'200)));
}

TEST_CASE("a server that is missing from a settled peer's list is removed at once") {
    registration_tracker tracker({});
    tracker.on_full_list({server_of("desk-1", "desk"), server_of("desk-2", "desk")}, at_ms(0));
    CHECK(tracker.on_settled_peer_list({server_of("desk-2", "desk"), server_of("desk-3", "desk")},
                                       at_ms(0)) == std::vector<std::string>{"desk-1"});
    CHECK(tracker.on_settled_peer_list({}, at_ms(1)) ==
          std::vector<std::string>{"desk-2", "desk-3"});
    CHECK(tracker.on_settled_peer_list({}, at_ms(2)).empty());
}

TEST_CASE("a peer that waits for a server does not restore a removed process") {
    registration_tracker tracker({});
    auto server = server_of("desk-1", "desk");
    server.started_at_ms = 5;
    tracker.on_contact(true, at_ms(0));
    tracker.on_full_list({server}, at_ms(0));
    CHECK(tracker.on_awaited_by_peer(server, at_ms(1)));
    CHECK(tracker.awaited().empty()); // the server is registered here
    REQUIRE(tracker.on_deregistration("desk-1", at_ms(2)));
    CHECK_FALSE(tracker.on_awaited_by_peer(server, at_ms(3)));

    auto next = server;
    next.started_at_ms = 6;
    CHECK(tracker.on_awaited_by_peer(next, at_ms(4)));
    CHECK(tracker.awaited() == std::vector<std::string>{"desk-1"});
    CHECK(tracker.expire(at_ms(4 + 2'200)) == std::vector<std::string>{"desk-1"});

    tracker.on_registration(server,
                            at_ms(2'900)); // a registration in the store overrides the removal
    CHECK(tracker.on_awaited_by_peer(server, at_ms(3'000)));
}

TEST_CASE("after the list of a settled peer, a server that a peer waits for is not added") {
    registration_tracker tracker({});
    CHECK(tracker.on_awaited_by_peer(server_of("desk-1", "desk"), at_ms(0)));
    tracker.on_settled_peer_list({server_of("desk-1", "desk")}, at_ms(1));
    CHECK(tracker.on_awaited_by_peer(server_of("desk-1", "desk"), at_ms(2)));
    CHECK_FALSE(tracker.on_awaited_by_peer(server_of("desk-2", "desk"), at_ms(3)));
}
