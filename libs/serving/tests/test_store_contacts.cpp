#include "serving_fixture.h"

#include <serving/registration_tracker.h>
#include <serving/store_contacts.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::testing;

TEST_CASE("the peer with the most recent response from the store is chosen") {
    store_contacts contacts({});
    CHECK_FALSE(contacts.freshest_peer(at_ms(0)));
    contacts.on_peer("a", duration{900}, at_ms(1'000));
    contacts.on_peer("b", duration{100}, at_ms(1'000));
    contacts.on_peer("never", duration{-1}, at_ms(1'000));
    contacts.on_peer("long-ago", duration{9'000}, at_ms(1'000));
    CHECK(contacts.freshest_peer(at_ms(1'100)) == "b");
    contacts.on_peer("a", duration{50}, at_ms(1'200));
    CHECK(contacts.freshest_peer(at_ms(1'300)) == "a");
    CHECK_FALSE(contacts.freshest_peer(at_ms(9'000)));
}

TEST_CASE(
    "a server that is missing from a peer's list is removed only after time to register again") {
    registration_tracker tracker({});
    const std::vector<backend_server> both{server_of("desk-1", "desk"),
                                           server_of("desk-2", "desk")};
    const std::vector<backend_server> one{both.front()};
    tracker.on_peer_list(both, at_ms(0));
    tracker.on_peer_list(one, at_ms(1'000));
    CHECK(tracker.expire(at_ms(2'000)).empty());
    tracker.on_peer_list(one, at_ms(2'000));
    CHECK(tracker.expire(at_ms(3'200)) == std::vector<std::string>{"desk-2"});

    tracker.on_peer_list(both, at_ms(4'000));
    tracker.on_peer_list(one, at_ms(5'000));
    tracker.on_peer_list(both, at_ms(6'000));
    CHECK(tracker.expire(at_ms(9'000)).empty());
}

TEST_CASE("the entry of a removed server is erased when its last request has ended") {
    dispatcher_fixture fixture;
    const auto id = fixture.arrive(profile_of("/book/1"), 0);
    const auto* sent = fixture.only<send_attempt>();
    REQUIRE(sent != nullptr);
    const auto server = sent->backend_id;
    fixture.decisions.backends().remove(server);
    fixture.decisions.tick(at_ms(10));
    REQUIRE(fixture.decisions.backends().find(server) != nullptr);
    CHECK(fixture.decisions.backends().servers_of_service("desk").size() == 1);
    fixture.ended(id, attempt_outcome::completed, 20);
    fixture.decisions.release(id, at_ms(20));
    fixture.decisions.tick(at_ms(30));
    CHECK(fixture.decisions.backends().find(server) == nullptr);
}
