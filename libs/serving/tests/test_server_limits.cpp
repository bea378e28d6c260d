#include "serving_fixture.h"

#include <serving/server_limits.h>

#include <catch2/catch.hpp>

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
