// The store comes back from an older copy, as the fleet's state sees it.
#include "fleet_state_fixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::entry;
using namespace camphorgrade::entry::testing;

namespace {

constexpr duration reregistration_time{2'200};
constexpr duration restoration_time{5'000};

void advance(fixture& context, duration time) {
    context.clock.advance_to(context.clock.now() + time);
    context.fleet.on_contact(true);
    context.fleet.expire();
}

/** A gateway that watches the store, which has `servers` in era 1. */
void start_watching(fixture& context, const std::vector<serving::backend_server>& servers) {
    context.fleet.on_contact(true);
    context.fleet.on_registrations(servers);
    context.fleet.on_registrations_position({1, 20});
    advance(context, duration{10'000});
}

void restore(fixture& context, const std::vector<serving::backend_server>& copy) {
    context.fleet.on_store_restored(2);
    context.fleet.on_registrations(copy);
    context.fleet.on_registrations_position({2, 12});
}

peering::registration_snapshot at_position(serving::store_position position,
                                           std::vector<serving::backend_server> servers,
                                           bool is_settled = true) {
    auto out = make_snapshot(std::move(servers), position.revision, is_settled);
    out.position = position;
    return out;
}

} // namespace

// Guards against a worker that is missing from the copy being dropped at once, because the store
// was away for too short a time to count as an outage.
TEST_CASE("a server that is missing from the copy stays valid until it had time to register") {
    fixture context;
    start_watching(context, {make_server("a"), make_server("b")});
    restore(context, {make_server("a")});
    CHECK(context.usable_servers() == ids{"a", "b"});
    context.fleet.on_deregistration("a");
    CHECK(context.usable_servers() == ids{"a", "b"});
    advance(context, reregistration_time);
    CHECK(context.usable_servers().empty());
    CHECK(context.fleet.store_restorations() == 1);
}

// Guards against the review's case 4: the copy lists a process that has left since it was made.
TEST_CASE("the copy doesn't restore a process that has been removed") {
    fixture context;
    start_watching(context, {make_server("a"), make_server("b")});
    context.fleet.on_deregistration("a");
    REQUIRE(context.usable_servers() == ids{"b"});
    restore(context, {make_server("a"), make_server("b")});
    context.fleet.on_registration(make_server("a"));
    CHECK(context.usable_servers() == ids{"b"});

    auto next = make_server("a");
    next.started_at_ms = 2;
    context.fleet.on_registration(next); // another process of the server
    CHECK(context.usable_servers() == ids{"a", "b"});
}

TEST_CASE("a removed process is valid again if it is registered once all had time to register") {
    fixture context;
    start_watching(context, {make_server("a"), make_server("b")});
    context.fleet.on_deregistration("a");
    restore(context, {make_server("a"), make_server("b")});
    advance(context, restoration_time);
    context.fleet.on_registrations({make_server("a"), make_server("b")});
    CHECK(context.usable_servers() == ids{"a", "b"});
}

TEST_CASE(
    "a process that has announced its shutdown isn't used though the copy lists it as ready") {
    fixture context;
    start_watching(context, {make_server("a"), make_server("b")});
    context.fleet.on_registration(make_server("a", true));
    context.dispatcher.backends().on_leaving("b");
    context.fleet.on_deregistration("a");
    context.fleet.on_deregistration("b");
    restore(context, {make_server("a"), make_server("b")});
    advance(context, restoration_time);
    context.fleet.on_registrations({make_server("a"), make_server("b")});
    CHECK(context.usable_servers().empty());
}

// Guards against gateways that don't watch the store staying on the earlier era's registrations,
// because its revisions were higher.
TEST_CASE("a peer's snapshot of a newer era counts though its revision is lower") {
    fixture context;
    context.fleet.on_peer_registrations(at_position({1, 20}, {make_server("a")}), "p1");
    context.fleet.on_peer_registrations(at_position({2, 12}, {make_server("b")}, false), "p2");
    CHECK(context.usable_servers() == ids{"a", "b"});
    context.fleet.on_peer_registrations(at_position({1, 25}, {make_server("c")}), "p1");
    CHECK(context.usable_servers() == ids{"a", "b"});
    context.clock.advance_to(context.clock.now() + reregistration_time);
    context.fleet.expire();
    CHECK(context.usable_servers() == ids{"b"});
    CHECK(context.fleet.registrations().position == serving::store_position{2, 12});
}

TEST_CASE("a gateway with a peer's registrations keeps removed processes out of a newer era") {
    fixture context;
    context.fleet.on_peer_registrations(at_position({1, 20}, {make_server("a"), make_server("b")}),
                                        "p1");
    context.fleet.on_peer_registrations(at_position({1, 21}, {make_server("b")}), "p1");
    context.fleet.on_peer_registrations(
        at_position({2, 12}, {make_server("a"), make_server("b")}, false), "p1");
    CHECK(context.usable_servers() == ids{"b"});
}

// Snapshots of several eras arrive in any order: the state is that of the newest position, and a
// server that it lists is used.
TEST_CASE("snapshots of several eras in any order leave the registrations of the newest one") {
    rc::prop("eras, revisions and orders", [] {
        fixture context;
        serving::store_position newest;
        std::set<std::string> expected;
        const auto steps = *rc::gen::inRange(1, 40);
        for (int i = 0; i < steps; ++i) {
            const serving::store_position position{*rc::gen::inRange<std::uint64_t>(1, 4),
                                                   *rc::gen::inRange<std::uint64_t>(1, 30)};
            // What the store lists is the same for all peers that know it at this position.
            std::vector<serving::backend_server> servers;
            std::set<std::string> listed;
            for (std::uint64_t server = 0; server < 4; ++server) {
                if ((position.revision * 7 + position.era * 3 + server * 5) % 3 != 0) {
                    servers.push_back(make_server("s" + std::to_string(server)));
                    listed.insert(servers.back().id);
                }
            }
            context.fleet.on_peer_registrations(at_position(position, servers),
                                                "p" + std::to_string(i % 3));
            if (position >= newest) {
                newest = position;
                expected = listed;
            }
            RC_ASSERT(context.fleet.registrations().position == newest);
            context.clock.advance_to(context.clock.now() + duration{100});
        }
        // The restoration is over; the newest snapshot is received once more.
        context.clock.advance_to(context.clock.now() + restoration_time);
        std::vector<serving::backend_server> servers;
        std::transform(expected.begin(), expected.end(), std::back_inserter(servers),
                       [](const auto& id) { return make_server(id); });
        context.fleet.on_peer_registrations(at_position(newest, servers), "p1");
        context.fleet.expire();
        const auto usable = context.usable_servers();
        RC_ASSERT(std::set<std::string>(usable.begin(), usable.end()) == expected);
    });
}
