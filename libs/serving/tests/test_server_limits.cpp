#include "serving_fixture.h"

#include <serving/server_limits.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cstddef>
#include <utility>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

const server_process process{"desk-1", 1'000};

std::optional<double> limit_of(const server_limits& limits) {
    const auto found = limits.find(process);
    return found ? std::optional(found->requests_per_s) : std::nullopt;
}

} // namespace

TEST_CASE("a limit is in force until a later response names another one or none") {
    server_limits limits;
    CHECK(limits.on_response(process, 5.0, at_ms(0), at_ms(10)) ==
          limit_change{process, std::nullopt, 5.0});
    CHECK_FALSE(limits.on_response(process, 5.0, at_ms(20), at_ms(30)).has_value());
    CHECK(limits.find(process) == request_limit{5.0, at_ms(30)});
    CHECK(limits.on_response(process, 8.0, at_ms(40), at_ms(50)) ==
          limit_change{process, 5.0, 8.0});
    CHECK(limits.on_response(process, 0.0, at_ms(60), at_ms(70)) ==
          limit_change{process, 8.0, 0.0});
    CHECK(limit_of(limits) == 0.0);
    CHECK(limits.on_response(process, std::nullopt, at_ms(80), at_ms(90)) ==
          limit_change{process, 0.0, std::nullopt});
    CHECK(limits.all().empty());
}

TEST_CASE("a response that may be older than the limit neither raises nor ends it") {
    server_limits limits;
    limits.on_response(process, 5.0, at_ms(100), at_ms(200));
    CHECK_FALSE(limits.on_response(process, std::nullopt, at_ms(150), at_ms(300)).has_value());
    CHECK_FALSE(limits.on_response(process, 9.0, at_ms(199), at_ms(300)).has_value());
    CHECK(limit_of(limits) == 5.0);
    // A lower limit applies even if its response may be the older one.
    limits.on_response(process, 2.0, at_ms(150), at_ms(310));
    CHECK(limit_of(limits) == 2.0);
}

TEST_CASE("a limit belongs to the process that named it") {
    dispatcher_fixture test;
    const auto id = test.arrive(profile_of("/book/x"), 0);
    const auto* sent = test.only<send_attempt>();
    REQUIRE(sent != nullptr);
    const auto server = sent->backend_id;
    response_metadata head;
    head.request_limit = 1.5;
    test.decisions.on_response_head(id, head, at_ms(10));
    CHECK(test.decisions.limits().find({server, 1'000}).has_value());
    auto next = server_of(server, "desk");
    next.started_at_ms = 2'000;
    test.decisions.backends().put(next);
    test.decisions.tick(at_ms(20));
    CHECK_FALSE(test.decisions.limits().find({server, 2'000}).has_value());
    CHECK(test.decisions.limits().all().empty());
}

TEST_CASE("a late response of an earlier process doesn't limit its successor") {
    dispatcher_fixture test;
    const auto id = test.arrive(profile_of("/book/x"), 0);
    auto next = server_of(test.decisions.backend_of(id), "desk");
    next.started_at_ms = 2'000;
    test.decisions.backends().put(next);
    response_metadata head;
    head.request_limit = 1.5;
    test.decisions.on_response_head(id, head, at_ms(10));
    CHECK_FALSE(test.decisions.limits().find(next.process()).has_value());
}

TEST_CASE("a limit that can't be parsed changes nothing") {
    dispatcher_fixture test;
    const auto id = test.arrive(profile_of("/book/x"), 0);
    response_metadata head;
    head.request_limit = 1.5;
    test.decisions.on_response_head(id, head, at_ms(10));
    const auto before = test.decisions.limits().all();
    const auto next = test.arrive(profile_of("/book/x"), 20);
    response_metadata unreadable;
    unreadable.has_invalid_request_limit = true;
    test.decisions.on_response_head(next, unreadable, at_ms(30));
    CHECK(test.decisions.limits().all() == before);
}

TEST_CASE(
    "gateways learn from their peers that a server names a limit, and that it no longer does") {
    server_limits here;
    server_limits there;
    here.on_response(process, 2.0, at_ms(0), at_ms(1'000));
    const auto named = here.next_reports(false, at_ms(1'050));
    REQUIRE(named.size() == 1);
    CHECK(named.front() == limit_report{process, 2.0, duration{50}});
    CHECK(there.on_report(named.front(), at_ms(1'100)) == limit_change{process, std::nullopt, 2.0});
    here.on_response(process, std::nullopt, at_ms(2'000), at_ms(2'100));
    const auto ended = here.next_reports(false, at_ms(2'150));
    REQUIRE(ended.size() == 1);
    CHECK(there.on_report(ended.front(), at_ms(2'200)) == limit_change{process, 2.0, std::nullopt});
    CHECK(there.all().empty());
}

TEST_CASE("a report that may be older than the limit lowers it, but neither raises nor ends it") {
    server_limits limits;
    limits.on_response(process, 5.0, at_ms(0), at_ms(1'000));
    CHECK_FALSE(limits.on_report({process, 9.0, duration{0}}, at_ms(1'400)).has_value());
    CHECK_FALSE(limits.on_report({process, std::nullopt, duration{0}}, at_ms(1'400)).has_value());
    // Certainly older: the observation's age exceeds the time since the limit was confirmed.
    CHECK_FALSE(limits.on_report({process, 1.0, duration{900}}, at_ms(1'400)).has_value());
    CHECK(limits.on_report({process, 3.0, duration{100}}, at_ms(1'400)).has_value());
    CHECK(limits.on_report({process, 9.0, duration{0}}, at_ms(2'000)).has_value());
    CHECK(limit_of(limits) == 9.0);
}

TEST_CASE("a gateway that missed the end of a limit doesn't bring it back") {
    server_limits here;
    server_limits there;
    here.on_response(process, 2.0, at_ms(0), at_ms(1'000));
    there.on_response(process, 2.0, at_ms(0), at_ms(1'000));
    here.on_response(process, std::nullopt, at_ms(3'000), at_ms(3'100));
    const auto outdated = there.next_reports(true, at_ms(3'200));
    REQUIRE(outdated.size() == 1);
    CHECK_FALSE(here.on_report(outdated.front(), at_ms(3'300)).has_value());
    CHECK(here.all().empty());
}

TEST_CASE("complete reports repeat what no gateway has stated lately") {
    server_limits limits;
    limits.on_response(process, 2.0, at_ms(0), at_ms(1'000));
    CHECK(limits.has_recent_changes(at_ms(1'700)));
    CHECK(limits.next_reports(false, at_ms(1'700)).size() == 1);
    CHECK_FALSE(limits.has_recent_changes(at_ms(1'900)));
    CHECK(limits.next_reports(false, at_ms(1'900)).empty());
    CHECK(limits.next_reports(true, at_ms(1'900)).empty()); // stated 200 ms ago
    CHECK(limits.next_reports(true, at_ms(2'800)).size() == 1);
    limits.on_report({process, 2.0, duration{10}}, at_ms(3'700)); // a peer states it
    CHECK(limits.next_reports(true, at_ms(3'900)).empty());
}

TEST_CASE("property: after reports in any order, no gateway keeps to more than the lowest limit of "
          "the last second") {
    rc::prop("the lowest of the limits that may be the newest is in force", [] {
        const auto limits = *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(1, 9));
        auto order = std::vector<std::size_t>{0, 1, 2, 3};
        const auto swaps =
            *rc::gen::container<std::vector<std::size_t>>(4, rc::gen::inRange<std::size_t>(0, 4));
        for (std::size_t i = 0; i < order.size(); ++i) {
            std::swap(order[i], order[swaps[i]]);
        }
        server_limits tested;
        // Observed within 300 ms, so each may be the newest; they arrive in any order.
        for (const auto each : order) {
            const auto observed = at_ms(1'000 + 100 * static_cast<std::int64_t>(each));
            const auto received = at_ms(1'400);
            tested.on_report({process, static_cast<double>(limits[each]), received - observed},
                             received);
        }
        const auto lowest_of_newest = static_cast<double>(limits[3]);
        RC_ASSERT(limit_of(tested).has_value());
        RC_ASSERT(*limit_of(tested) <= lowest_of_newest);
    });
}
