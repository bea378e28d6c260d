#include "serving_fixture.h"

#include <serving/crash_register.h>
#include <serving/prefix_cache_estimate.h>
#include <serving/registration_tracker.h>
#include <serving/retry_limiter.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::testing;

TEST_CASE("a registration that disappears while the store responds is removed at once") {
    registration_tracker tracker({});
    tracker.on_contact(true, at_ms(0));
    tracker.on_full_list({server_of("desk-1", "desk"), server_of("desk-2", "desk")}, at_ms(0));
    tracker.on_contact(true, at_ms(1'000));
    CHECK(tracker.on_deregistration("desk-1", at_ms(1'000)));
    CHECK(tracker.on_full_list({}, at_ms(1'100)) == std::vector<std::string>{"desk-1", "desk-2"});
}

TEST_CASE(
    "registrations that disappear around an outage stay valid until servers had time to register") {
    registration_tracker tracker({});
    tracker.on_contact(true, at_ms(0));
    tracker.on_full_list({server_of("desk-1", "desk"), server_of("desk-2", "desk")}, at_ms(0));
    tracker.on_contact(false, at_ms(500));
    tracker.on_contact(true, at_ms(5'000));
    CHECK(tracker.on_full_list({}, at_ms(5'000)).empty());
    tracker.on_registration(server_of("desk-2", "desk"), at_ms(5'100));
    CHECK(tracker.expire(at_ms(7'100)).empty());
    CHECK(tracker.expire(at_ms(7'200)) == std::vector<std::string>{"desk-1"});
    CHECK(tracker.expire(at_ms(9'000)).empty());
}

TEST_CASE("infrequent responses of the store do not count as an outage") {
    registration_tracker tracker({});
    tracker.on_contact(true, at_ms(0));
    tracker.on_full_list({server_of("desk-1", "desk")}, at_ms(0));
    tracker.on_contact(true, at_ms(2'500));
    CHECK(tracker.on_deregistration("desk-1", at_ms(2'500)));
}

namespace {

bool try_retry(retry_limiter& limiter, time_point now) {
    return limiter.try_reserve("s", now) && limiter.try_send("s", now);
}

} // namespace

TEST_CASE("retries stay within the fleet's limit, which gateways share") {
    retry_limiter limiter({0.2, 50, duration{10'000}, 1.0});
    limiter.set_gateways({"g1", "g2", "g3", "g4", "g5"}, {}, at_ms(0));
    for (int i = 0; i < 100; ++i) {
        limiter.on_request("s", at_ms(i));
    }
    int allowed = 0;
    for (int i = 0; i < 100; ++i) {
        allowed += try_retry(limiter, at_ms(200)) ? 1 : 0;
    }
    CHECK(allowed == 30); // 0.2 of 100 requests, and 1/5 of 50 base retries
    CHECK_FALSE(try_retry(limiter, at_ms(9'000)));
    CHECK(try_retry(limiter, at_ms(10'300)));
}

TEST_CASE("only crashes of different processes count towards the quarantine of a request") {
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

TEST_CASE("a prompt part counts as cached only if all parts before it are cached") {
    prefix_cache_estimate prefixes;
    const std::vector<prompt_part> prompt{{1, 100}, {2, 50}, {3, 10}};
    CHECK(prefixes.cached_tokens("m/a", prompt) == 0);
    prefixes.insert("m/a", prompt);
    CHECK(prefixes.cached_tokens("m/a", prompt) == 160);
    CHECK(prefixes.cached_tokens("m/b", prompt) == 0);
    CHECK(prefixes.cached_tokens("m/a", {{1, 100}, {9, 50}, {3, 10}}) == 100);
    CHECK(prefixes.cached_tokens("m/a", {{2, 50}}) == 0);
}

TEST_CASE("a report of an earlier agent process does not replace one of a later process") {
    backend_registry registry({});
    registry.put(server_of("engine-1", "llm"));
    auto newer = engine_with({{{"m/a1", 1}, false, 0}}, 5);
    newer.agent_incarnation = 2;
    registry.on_engine_state("engine-1", newer, at_ms(0));
    registry.on_engine_state("engine-1", engine_with({}, 9), at_ms(1));
    CHECK(registry.holds(*registry.find("engine-1"), "m/a1", 1, at_ms(2)));
}

TEST_CASE("without recent agent reports, an engine holds the weights in its registration") {
    backend_registry registry({});
    auto server = server_of("engine-1", "llm");
    server.held.push_back({"m/a7", 1});
    registry.put(server);
    registry.on_engine_state("engine-1", engine_with({}), at_ms(0));
    CHECK_FALSE(registry.holds(*registry.find("engine-1"), "m/a7", 1, at_ms(1'000)));
    CHECK(registry.holds(*registry.find("engine-1"), "m/a7", 1, at_ms(3'000)));
}

TEST_CASE("of the routes that match a path, the one with the longest prefix is chosen") {
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
