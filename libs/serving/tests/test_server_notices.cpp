#include "serving_fixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

response_metadata leaving() {
    response_metadata out;
    out.is_sealed = true;
    out.is_shutting_down = true;
    return out;
}

response_metadata holding_off(duration time) {
    response_metadata out;
    out.has_not_run = true;
    out.retry_after = time;
    return out;
}

std::string sent_to(const dispatcher_fixture& with) {
    const auto* sent = with.only<send_attempt>();
    REQUIRE(sent != nullptr);
    return sent->backend_id;
}

/** Reports from all engines that they hold adapter a1. */
void load_on_all_engines(dispatcher_fixture& with) {
    for (const auto* id : {"engine-1", "engine-2"}) {
        with.decisions.on_engine_state(id, engine_with({{{"m/a1", 1}, false, 0}}, 2), at_ms(1));
    }
}

} // namespace

TEST_CASE(
    "a server that announced its shutdown receives no requests until its next process registers") {
    dispatcher_fixture with;
    const auto first = with.arrive(profile_of("/book/x"), 0);
    const auto leaving_server = sent_to(with);
    with.decisions.on_response_head(first, leaving(), at_ms(10));
    with.ended(first, attempt_outcome::completed, 11);
    for (int i = 0; i < 20; ++i) {
        with.arrive(profile_of("/read/x"), 20 + i);
        CHECK(sent_to(with) != leaving_server);
    }
    // The registration still says ready, but the server's own announcement is newer.
    with.decisions.backends().put(server_of(leaving_server, "desk"));
    with.arrive(profile_of("/read/x"), 100);
    CHECK(sent_to(with) != leaving_server);
    auto next = server_of(leaving_server, "desk");
    next.started_at_ms = 2'000;
    with.decisions.backends().put(next);
    with.arrive(profile_of("/read/x"), 110);
    CHECK(sent_to(with) == leaving_server);
}

TEST_CASE("when all servers are shutting down, requests are refused as not run") {
    dispatcher_fixture with;
    for (int i = 0; i < 2; ++i) {
        const auto id = with.arrive(profile_of("/book/x"), i);
        with.decisions.on_response_head(id, leaving(), at_ms(i));
    }
    with.arrive(profile_of("/book/x"), 10);
    const auto* end = with.only<end_request>();
    REQUIRE(end != nullptr);
    CHECK(end->reason == end_reason::no_backend);
    CHECK(end->retry_after > duration::zero());
}

TEST_CASE(
    "load: a request that waits for its adapter is moved away from an engine that shuts down") {
    dispatcher_fixture with;
    const auto waiting = with.arrive(profile_of("/plan/x", "a2"), 0);
    const auto* wait = with.only<wait_for_weights>();
    REQUIRE(wait != nullptr);
    const auto engine = wait->backend_id;
    with.decisions.on_engine_state(engine, engine_with({{{"m/a1", 1}, false, 0}}, 2), at_ms(1));
    const auto running = with.arrive(profile_of("/plan/x", "a1"), 2);
    REQUIRE(sent_to(with) == engine);
    with.decisions.on_response_head(running, leaving(), at_ms(50));
    with.effects = with.decisions.take_effects();
    const auto* again = with.only<wait_for_weights>();
    REQUIRE(again != nullptr);
    CHECK(again->request == waiting);
    CHECK(again->backend_id != engine);
    with.decisions.on_engine_state(engine, engine_with({{{"m/a2", 1}, false, 0}}, 3), at_ms(250));
    CHECK(with.decisions.take_effects().empty());
}

TEST_CASE("requests that wait at an engine are not sent there when its registration is draining") {
    dispatcher_fixture with;
    with.arrive(profile_of("/plan/x", "a1"), 0);
    const auto* wait = with.only<wait_for_weights>();
    REQUIRE(wait != nullptr);
    auto drained = server_of(wait->backend_id, "llm");
    drained.is_draining = true;
    with.decisions.backends().put(drained);
    with.decisions.on_engine_state(drained.id, engine_with({{{"m/a1", 1}, false, 0}}, 2),
                                   at_ms(250));
    for (const auto& each : with.decisions.take_effects()) {
        CHECK(std::get_if<send_attempt>(&each) == nullptr);
    }
}

TEST_CASE("load: servers that hold off receive no requests until their hold-off time has passed") {
    dispatcher_fixture with;
    const auto first = with.arrive(profile_of("/book/x"), 0);
    const auto refusing_server = sent_to(with);
    with.decisions.on_response_head(first, holding_off(duration{2'000}), at_ms(10));
    // A later notice with a shorter time does not shorten the hold-off.
    with.decisions.on_response_head(first, holding_off(duration{100}), at_ms(11));
    with.ended(first, attempt_outcome::refused, 12);
    CHECK(sent_to(with) != refusing_server);
    for (std::int64_t at = 20; at < 2'000; at += 60) {
        const auto id = with.arrive(profile_of("/read/x"), at);
        CHECK(sent_to(with) != refusing_server);
        with.ended(id, attempt_outcome::completed, at + 50);
    }
    bool is_used = false;
    for (int i = 0; i < 20; ++i) {
        with.arrive(profile_of("/read/x"), 2'011);
        is_used = is_used || sent_to(with) == refusing_server;
    }
    CHECK(is_used);
}

TEST_CASE(
    "load: when all servers hold off, requests are refused at once with the shortest hold-off") {
    dispatcher_fixture with;
    const auto first = with.arrive(profile_of("/book/x"), 0);
    with.decisions.on_response_head(first, holding_off(duration{9'000}), at_ms(0));
    const auto second = with.arrive(profile_of("/book/x"), 0);
    with.decisions.on_response_head(second, holding_off(duration{7'000}), at_ms(0));
    for (int i = 0; i < 50; ++i) {
        with.arrive(profile_of("/read/x"), 1'000);
        const auto* end = with.only<end_request>();
        REQUIRE(end != nullptr);
        CHECK(has_not_run(end->reason));
        CHECK(end->retry_after >= duration{6'000});
        CHECK(end->retry_after <= duration{7'500});
    }
}

TEST_CASE("requests for an adapter are placed elsewhere while its engine holds off") {
    dispatcher_fixture with;
    load_on_all_engines(with);
    const auto running = with.arrive(profile_of("/plan/x", "a1"), 2);
    const auto engine = sent_to(with);
    with.decisions.on_response_head(running, holding_off(duration{3'000}), at_ms(5));
    with.ended(running, attempt_outcome::refused, 5);
    CHECK(sent_to(with) != engine);
    with.arrive(profile_of("/plan/x", "a1"), 100);
    CHECK(sent_to(with) != engine);
}

TEST_CASE("the hold-off time of a server is limited to the configured maximum") {
    dispatcher_settings settings;
    settings.max_hold_off = duration{1'000};
    dispatcher_fixture with(settings);
    for (int i = 0; i < 2; ++i) {
        const auto id = with.arrive(profile_of("/book/x"), 0);
        with.decisions.on_response_head(id, holding_off(duration{86'400'000}), at_ms(0));
    }
    with.arrive(profile_of("/read/x"), 1'000);
    CHECK(with.only<send_attempt>() != nullptr);
}
