#include "serving_fixture.h"

#include <serving/registration_tracker.h>
#include <serving/watch_policy.h>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::testing;

TEST_CASE("a gateway without peers that watch for it watches the store") {
    watch_policy duty({});
    CHECK(duty.should_watch(false, at_ms(0)));
    duty.on_peer_update(at_ms(100));
    CHECK(duty.should_watch(false, at_ms(10'000)));
}

TEST_CASE("the own watch is dropped after steady news, and taken up soon after they stop") {
    watch_policy duty({});
    std::int64_t ms = 0;
    for (; ms < 3'000; ms += 500) {
        duty.on_peer_update(at_ms(ms));
        CHECK(duty.should_watch(true, at_ms(ms)));
    }
    for (; ms < 8'000; ms += 500) {
        duty.on_peer_update(at_ms(ms));
        CHECK_FALSE(duty.should_watch(true, at_ms(ms)));
    }
    CHECK_FALSE(duty.should_watch(true, at_ms(ms + 1'400)));
    CHECK(duty.should_watch(true, at_ms(ms + 1'500)));
    duty.on_peer_update(at_ms(ms + 1'600));
    CHECK(duty.should_watch(true, at_ms(ms + 1'700)));
}

TEST_CASE("peers that have lost the store themselves are relied on no longer than others") {
    watch_policy duty({});
    for (std::int64_t ms = 0; ms <= 5'000; ms += 500) {
        duty.on_peer_update(at_ms(ms));
        static_cast<void>(duty.should_watch(true, at_ms(ms)));
    }
    REQUIRE_FALSE(duty.should_watch(true, at_ms(5'000)));
    for (std::int64_t ms = 5'500; ms < 7'000; ms += 500) {
        duty.on_peer_update(at_ms(5'000)); // they answer, but heard nothing since
        CHECK_FALSE(duty.should_watch(true, at_ms(ms)));
    }
    duty.on_peer_update(at_ms(5'000));
    CHECK(duty.should_watch(true, at_ms(7'000)));
}

TEST_CASE("a book is settled once servers had time to register again") {
    registration_tracker book({});
    CHECK_FALSE(book.is_settled(at_ms(0)));
    book.on_contact(true, at_ms(100));
    CHECK_FALSE(book.is_settled(at_ms(2'200)));
    book.on_contact(true, at_ms(2'300));
    CHECK(book.is_settled(at_ms(2'300)));
    book.on_contact(false, at_ms(3'000));
    book.on_contact(true, at_ms(6'000));
    CHECK_FALSE(book.is_settled(at_ms(8'100)));
    CHECK(book.is_settled(at_ms(8'200)));
}

TEST_CASE("what a settled peer's list lacks is gone at once") {
    registration_tracker book({});
    book.on_full_list({server_of("desk-1", "desk"), server_of("desk-2", "desk")}, at_ms(0));
    CHECK(book.on_settled_peer_list({server_of("desk-2", "desk"), server_of("desk-3", "desk")},
                                    at_ms(0)) == std::vector<std::string>{"desk-1"});
    CHECK(book.on_settled_peer_list({}, at_ms(1)) == std::vector<std::string>{"desk-2", "desk-3"});
    CHECK(book.on_settled_peer_list({}, at_ms(2)).empty());
}

TEST_CASE("a peer that waits for a server brings back no process that is gone") {
    registration_tracker book({});
    auto server = server_of("desk-1", "desk");
    server.started_at_ms = 5;
    book.on_contact(true, at_ms(0));
    book.on_full_list({server}, at_ms(0));
    CHECK(book.on_awaited_by_peer(server, at_ms(1)));
    CHECK(book.awaited().empty()); // it is registered here
    REQUIRE(book.on_deregistration("desk-1", at_ms(2)));
    CHECK_FALSE(book.on_awaited_by_peer(server, at_ms(3)));

    auto next = server;
    next.started_at_ms = 6;
    CHECK(book.on_awaited_by_peer(next, at_ms(4)));
    CHECK(book.awaited() == std::vector<std::string>{"desk-1"});
    CHECK(book.expire(at_ms(4 + 2'200)) == std::vector<std::string>{"desk-1"});

    book.on_registration(server); // the store has the last word
    CHECK(book.on_awaited_by_peer(server, at_ms(3'000)));
}

TEST_CASE("once a settled peer told all registrations, a peer's waiting adds none to them") {
    registration_tracker book({});
    CHECK(book.on_awaited_by_peer(server_of("desk-1", "desk"), at_ms(0)));
    book.on_settled_peer_list({server_of("desk-1", "desk")}, at_ms(1));
    CHECK(book.on_awaited_by_peer(server_of("desk-1", "desk"), at_ms(2)));
    CHECK_FALSE(book.on_awaited_by_peer(server_of("desk-2", "desk"), at_ms(3)));
}
