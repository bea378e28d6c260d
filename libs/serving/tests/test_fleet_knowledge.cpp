#include "serving_fixture.h"

#include <serving/crash_register.h>
#include <serving/prefix_cache_estimate.h>
#include <serving/registration_tracker.h>
#include <serving/retry_limiter.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::testing;

TEST_CASE("a registration that vanishes while the store answers is gone at once") {
    registration_tracker book({});
    book.on_contact(true, at_ms(0));
    book.on_full_list({server_of("desk-1", "desk"), server_of("desk-2", "desk")}, at_ms(0));
    book.on_contact(true, at_ms(1'000));
    CHECK(book.on_deregistration("desk-1", at_ms(1'000)));
    CHECK(book.on_full_list({}, at_ms(1'100)) == std::vector<std::string>{"desk-1", "desk-2"});
}

TEST_CASE("registrations that vanished around an outage get time to come back") {
    registration_tracker book({});
    book.on_contact(true, at_ms(0));
    book.on_full_list({server_of("desk-1", "desk"), server_of("desk-2", "desk")}, at_ms(0));
    book.on_contact(false, at_ms(500));
    book.on_contact(true, at_ms(5'000));
    CHECK(book.on_full_list({}, at_ms(5'000)).empty());
    book.on_registration(server_of("desk-2", "desk"));
    CHECK(book.expire(at_ms(7'100)).empty());
    CHECK(book.expire(at_ms(7'200)) == std::vector<std::string>{"desk-1"});
    CHECK(book.expire(at_ms(9'000)).empty());
}

TEST_CASE("answers that come seldom are no outage") {
    registration_tracker book({});
    book.on_contact(true, at_ms(0));
    book.on_full_list({server_of("desk-1", "desk")}, at_ms(0));
    book.on_contact(true, at_ms(2'500));
    CHECK(book.on_deregistration("desk-1", at_ms(2'500)));
}

TEST_CASE("repeats stay within the fleet's bound, shared among gateways") {
    retry_limiter allowance({0.2, 50, duration{10'000}, 1.0});
    for (int i = 0; i < 100; ++i) {
        allowance.on_request("s", at_ms(i));
    }
    int allowed = 0;
    for (int i = 0; i < 100; ++i) {
        allowed += allowance.try_retry("s", 5, at_ms(200)) ? 1 : 0;
    }
    CHECK(allowed == 30); // a fifth of 100, and a fifth of 50
    CHECK_FALSE(allowance.try_retry("s", 5, at_ms(9'000)));
    CHECK(allowance.try_retry("s", 5, at_ms(10'300)));
}

TEST_CASE("only breaks of different processes count against a request") {
    crash_register crashes({});
    const auto content = crash_register::fingerprint("key", "/a", "body");
    CHECK(content != crash_register::fingerprint("key", "/a", "bodyx"));
    CHECK(content != crash_register::fingerprint("key/a", "", "body"));
    CHECK(crashes.add({content, "e1", 1}, at_ms(0)));
    CHECK_FALSE(crashes.add({content, "e1", 1}, at_ms(1)));
    CHECK(crashes.add({content, "e1", 2}, at_ms(2)));
    CHECK_FALSE(crashes.is_quarantined(content, at_ms(3)));
    CHECK(crashes.add({content, "e2", 1}, at_ms(3)));
    CHECK(crashes.is_quarantined(content, at_ms(4)));
    CHECK_FALSE(crashes.is_quarantined(content, at_ms(400'000)));
}

TEST_CASE("a prompt's beginning is known only as far as all parts before are") {
    prefix_cache_estimate cache;
    const std::vector<prompt_part> prompt{{1, 100}, {2, 50}, {3, 10}};
    CHECK(cache.cached_tokens("m/a", prompt) == 0);
    cache.insert("m/a", prompt);
    CHECK(cache.cached_tokens("m/a", prompt) == 160);
    CHECK(cache.cached_tokens("m/b", prompt) == 0);
    CHECK(cache.cached_tokens("m/a", {{1, 100}, {9, 50}, {3, 10}}) == 100);
    CHECK(cache.cached_tokens("m/a", {{2, 50}}) == 0);
}

TEST_CASE("reports of an earlier agent or engine don't replace newer ones") {
    backend_registry board({});
    board.put(server_of("engine-1", "llm"));
    auto newer = engine_with({{{"m/a1", 1}, false, 0}}, 5);
    newer.agent_incarnation = 2;
    board.on_engine_state("engine-1", newer, at_ms(0));
    board.on_engine_state("engine-1", engine_with({}, 9), at_ms(1));
    CHECK(board.holds(*board.find("engine-1"), "m/a1", 1, at_ms(2)));
}

TEST_CASE("without reports of its agent, an engine holds what it registered") {
    backend_registry board({});
    auto server = server_of("engine-1", "llm");
    server.held.push_back({"m/a7", 1});
    board.put(server);
    board.on_engine_state("engine-1", engine_with({}), at_ms(0));
    CHECK_FALSE(board.holds(*board.find("engine-1"), "m/a7", 1, at_ms(1'000)));
    CHECK(board.holds(*board.find("engine-1"), "m/a7", 1, at_ms(3'000)));
}

TEST_CASE("of routes the one with the longest prefix that begins the path is taken") {
    auto catalogue = small_catalogue();
    auto inner = catalogue.routes.front();
    inner.name = "inner";
    inner.path_prefix = "/plan/inner/";
    catalogue.routes.push_back(inner);
    const catalogue_index index(catalogue);
    CHECK(index.find_route("a.example", "/plan/inner/x")->name == "inner");
    CHECK(index.find_route("a.example", "/plan/innerx")->name == "plan");
    CHECK(index.find_route("b.example", "/plan/x") == nullptr);
}
