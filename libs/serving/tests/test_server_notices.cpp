#include "serving_fixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

response_metadata shutting_down() {
    response_metadata out;
    out.is_sealed = true;
    out.is_shutting_down = true;
    return out;
}

response_metadata refusing_for(duration time) {
    response_metadata out;
    out.has_not_run = true;
    out.retry_after = time;
    return out;
}

std::string sent_to(const dispatcher_fixture& test) {
    const auto* sent = test.only<send_attempt>();
    REQUIRE(sent != nullptr);
    return sent->backend_id;
}

/** Engines that hold adapter a1. */
void load_everywhere(dispatcher_fixture& test) {
    for (const auto* id : {"engine-1", "engine-2"}) {
        test.decisions.on_engine_state(id, engine_with({{{"m/a1", 1}, false, 0}}, 2), at_ms(1));
    }
}

} // namespace

TEST_CASE("a server that announced its shutdown gets no new requests until it restarts") {
    dispatcher_fixture test;
    const auto first = test.arrive(profile_of("/book/x"), 0);
    const auto stopping = sent_to(test);
    test.decisions.on_response_head(first, shutting_down(), at_ms(10));
    test.ended(first, attempt_outcome::completed, 11);
    for (int i = 0; i < 20; ++i) {
        test.arrive(profile_of("/read/x"), 20 + i);
        CHECK(sent_to(test) != stopping);
    }
    // Its registration still says ready; the server's own notice is newer.
    test.decisions.backends().put(server_of(stopping, "desk"));
    test.arrive(profile_of("/read/x"), 100);
    CHECK(sent_to(test) != stopping);
    auto next = server_of(stopping, "desk");
    next.started_at_ms = 2'000;
    test.decisions.backends().put(next);
    test.arrive(profile_of("/read/x"), 110);
    CHECK(sent_to(test) == stopping);
}

TEST_CASE("when all servers are shutting down, requests are refused as not run") {
    dispatcher_fixture test;
    for (int i = 0; i < 2; ++i) {
        const auto id = test.arrive(profile_of("/book/x"), i);
        test.decisions.on_response_head(id, shutting_down(), at_ms(i));
    }
    test.arrive(profile_of("/book/x"), 10);
    const auto* end = test.only<end_request>();
    REQUIRE(end != nullptr);
    CHECK(end->reason == end_reason::no_backend);
    CHECK(end->retry_after > duration::zero());
}

TEST_CASE("load: a request waiting for its adapter is moved off an engine that is shutting down") {
    dispatcher_fixture test;
    const auto waiting = test.arrive(profile_of("/plan/x", "a2"), 0);
    const auto* wait = test.only<wait_for_backend>();
    REQUIRE(wait != nullptr);
    const auto backend = wait->backend_id;
    test.decisions.on_engine_state(backend, engine_with({{{"m/a1", 1}, false, 0}}, 2), at_ms(1));
    const auto running = test.arrive(profile_of("/plan/x", "a1"), 2);
    REQUIRE(sent_to(test) == backend);
    test.decisions.on_response_head(running, shutting_down(), at_ms(50));
    test.effects = test.decisions.take_effects();
    const auto* placed_again = test.only<wait_for_backend>();
    REQUIRE(placed_again != nullptr);
    CHECK(placed_again->request == waiting);
    CHECK(placed_again->backend_id != backend);
    test.decisions.on_engine_state(backend, engine_with({{{"m/a2", 1}, false, 0}}, 3), at_ms(250));
    CHECK(test.decisions.take_effects().empty());
}

TEST_CASE("a draining engine isn't sent the requests that waited for it") {
    dispatcher_fixture test;
    test.arrive(profile_of("/plan/x", "a1"), 0);
    const auto* wait = test.only<wait_for_backend>();
    REQUIRE(wait != nullptr);
    auto drained = server_of(wait->backend_id, "llm");
    drained.is_draining = true;
    test.decisions.backends().put(drained);
    test.decisions.on_engine_state(drained.id, engine_with({{{"m/a1", 1}, false, 0}}, 2),
                                   at_ms(250));
    for (const auto& each : test.decisions.take_effects()) {
        CHECK(std::get_if<send_attempt>(&each) == nullptr);
    }
}

TEST_CASE("load: a server that sent Retry-After gets no requests until it has passed") {
    dispatcher_fixture test;
    const auto first = test.arrive(profile_of("/book/x"), 0);
    const auto held_off = sent_to(test);
    test.decisions.on_response_head(first, refusing_for(duration{2'000}), at_ms(10));
    // A later, shorter Retry-After doesn't shorten the earlier one.
    test.decisions.on_response_head(first, refusing_for(duration{100}), at_ms(11));
    test.ended(first, attempt_outcome::refused, 12);
    CHECK(sent_to(test) != held_off);
    for (std::int64_t at = 20; at < 2'000; at += 60) {
        const auto id = test.arrive(profile_of("/read/x"), at);
        CHECK(sent_to(test) != held_off);
        test.ended(id, attempt_outcome::completed, at + 50);
    }
    bool is_used = false;
    for (int i = 0; i < 20; ++i) {
        test.arrive(profile_of("/read/x"), 2'011);
        is_used = is_used || sent_to(test) == held_off;
    }
    CHECK(is_used);
}

TEST_CASE(
    "load: when all servers sent Retry-After, requests are refused at once with the shortest") {
    dispatcher_fixture test;
    const auto first = test.arrive(profile_of("/book/x"), 0);
    test.decisions.on_response_head(first, refusing_for(duration{9'000}), at_ms(0));
    const auto second = test.arrive(profile_of("/book/x"), 0);
    test.decisions.on_response_head(second, refusing_for(duration{7'000}), at_ms(0));
    for (int i = 0; i < 50; ++i) {
        test.arrive(profile_of("/read/x"), 1'000);
        const auto* end = test.only<end_request>();
        REQUIRE(end != nullptr);
        CHECK(has_not_run(end->reason));
        CHECK(end->retry_after >= duration{6'000});
        CHECK(end->retry_after <= duration{7'500});
    }
}

// Guards against the review's case 4: a leaving server's registration was removed and came back
// with the store's copy, and the server was taken for a new one.
TEST_CASE("a server that announced its shutdown stays unused after its registration was removed") {
    dispatcher_fixture test;
    auto first = server_of("desk-1", "desk");
    auto second = server_of("desk-2", "desk");
    first.started_at_ms = second.started_at_ms = 1'000;
    auto& backends = test.decisions.backends();
    backends.put(first);
    backends.put(second);
    backends.on_leaving("desk-1");
    auto draining = second;
    draining.is_draining = true;
    backends.put(draining);
    for (const auto* id : {"desk-1", "desk-2"}) {
        backends.remove(id);
        REQUIRE(backends.find(id) == nullptr);
    }
    backends.put(first);
    backends.put(second);
    CHECK(backends.servers_of_service("desk").empty());

    second.started_at_ms = 2'000; // the server's next process
    backends.put(second);
    REQUIRE(backends.servers_of_service("desk").size() == 1);
    CHECK(backends.servers_of_service("desk").front()->server.id == "desk-2");
}

TEST_CASE("requests for an adapter go elsewhere when its engine sent Retry-After") {
    dispatcher_fixture test;
    load_everywhere(test);
    const auto running = test.arrive(profile_of("/plan/x", "a1"), 2);
    const auto backend = sent_to(test);
    test.decisions.on_response_head(running, refusing_for(duration{3'000}), at_ms(5));
    test.ended(running, attempt_outcome::refused, 5);
    CHECK(sent_to(test) != backend);
    test.arrive(profile_of("/plan/x", "a1"), 100);
    CHECK(sent_to(test) != backend);
}

TEST_CASE("a server's Retry-After is limited to max_hold_off") {
    dispatcher_settings settings;
    settings.max_hold_off = duration{1'000};
    dispatcher_fixture test(settings);
    for (int i = 0; i < 2; ++i) {
        const auto id = test.arrive(profile_of("/book/x"), 0);
        test.decisions.on_response_head(id, refusing_for(duration{86'400'000}), at_ms(0));
    }
    test.arrive(profile_of("/read/x"), 1'000);
    CHECK(test.only<send_attempt>() != nullptr);
}
