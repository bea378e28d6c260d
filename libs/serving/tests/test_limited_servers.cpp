#include "serving_fixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

response_metadata naming(std::optional<double> limit) {
    response_metadata out;
    out.is_sealed = true;
    out.request_limit = limit;
    return out;
}

/** A dispatcher whose gateway shares the limits with peers that grant nothing to it. */
struct limited_fixture : dispatcher_fixture {
    /** Sends a request and lets the server that it goes to name a limit. Returns the server. */
    std::string name_limit(double limit, std::int64_t ms, const std::string& path = "/book/x",
                           const std::string& adapter = {}) {
        const auto id = arrive(profile_of(path, adapter), ms);
        auto server = decisions.backend_of(id);
        decisions.on_response_head(id, naming(limit), at_ms(ms + 1));
        decisions.take_effects();
        ended(id, attempt_outcome::completed, ms + 2);
        return server;
    }

    /** Exchanges permits regularly in [from_ms, to_ms] and returns how many requests were sent. */
    std::size_t sent_during(const std::string& server, std::int64_t from_ms, std::int64_t to_ms) {
        constexpr std::int64_t interval_ms = 50;
        std::size_t sent = 0;
        for (auto at = from_ms; at <= to_ms; at += interval_ms) {
            decisions.exchange_permits(at_ms(at));
            decisions.tick(at_ms(at));
            effects = decisions.take_effects();
            sent += sent_to(server);
        }
        return sent;
    }

    std::size_t sent_to(const std::string& server) const {
        return static_cast<std::size_t>(
            std::count_if(effects.begin(), effects.end(), [&](const dispatch_effect& each) {
                const auto* sent = std::get_if<send_attempt>(&each);
                return sent != nullptr && sent->backend_id == server;
            }));
    }
};

} // namespace

TEST_CASE("requests beyond a server's limit go to another server at once") {
    limited_fixture test;
    const auto limited = test.name_limit(1, 0);
    for (int i = 0; i < 20; ++i) {
        const auto id = test.arrive(profile_of("/read/x"), 10 + i);
        CHECK(test.sent_to(limited) == 0);
        REQUIRE(test.only<send_attempt>() != nullptr);
        test.ended(id, attempt_outcome::completed, 10 + i);
    }
}

TEST_CASE("retries and requests that a server rejects count against its limit") {
    limited_fixture test;
    const auto limited = test.name_limit(1, 0);
    const auto id = test.arrive(profile_of("/read/x"), 10);
    const auto other = test.decisions.backend_of(id);
    REQUIRE(other != limited);
    test.ended(id, attempt_outcome::refused, 20);
    // The only other server is limited, and no permit is there: the retry waits.
    CHECK(test.sent_to(limited) == 0);
    REQUIRE(test.only<wait_for_backend>() != nullptr);
    CHECK(test.only<wait_for_backend>()->permit_wait > duration::zero());
    CHECK(test.sent_during(limited, 25, 900) == 0);
    CHECK(test.sent_during(limited, 950, 1'400) == 1);
    test.ended(id, attempt_outcome::refused, 1'410);
    CHECK(test.sent_during(limited, 1'410, 1'600) == 0);
}

TEST_CASE(
    "load: when all servers are limited, requests wait in turn, and those that can't be served "
    "in time are refused at once with the time after which they can") {
    limited_fixture test;
    const auto first = test.name_limit(1, 0);
    const auto second = test.name_limit(1, 5);
    REQUIRE(first != second);
    int waiting = 0;
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
        test.arrive(profile_of("/book/x"), 100 + i);
        test.decisions.exchange_permits(at_ms(100 + i));
        for (const auto& each : test.decisions.take_effects()) {
            test.effects.push_back(each);
        }
        for (const auto& each : test.effects) {
            CHECK(std::get_if<send_attempt>(&each) == nullptr);
            waiting += std::get_if<wait_for_backend>(&each) != nullptr ? 1 : 0;
            if (const auto* end = std::get_if<end_request>(&each)) {
                ++refused;
                CHECK(end->reason == end_reason::no_capacity);
                CHECK(has_not_run(end->reason));
                CHECK(end->retry_after > duration::zero());
            }
        }
    }
    // Each server takes one a second and callers wait 2 s.
    CHECK(waiting >= 2);
    CHECK(refused >= 14);
    // 0.95 permits a second accrue, so the first permit comes after 1,053 ms.
    CHECK(test.sent_during(first, 150, 1'000) == 0);
    CHECK(test.sent_during(first, 1'050, 1'250) == 1);
}

TEST_CASE("a request that waited for its adapter is sent only with a permit") {
    limited_fixture test;
    for (const auto* id : {"engine-1", "engine-2"}) {
        test.decisions.on_engine_state(id, engine_with({{{"m/a1", 1}, false, 0}}, 2), at_ms(1));
    }
    const auto limited = test.name_limit(0.5, 2, "/plan/x", "a1");
    const auto other = limited == "engine-1" ? "engine-2" : "engine-1";
    auto drained = server_of(other, "llm");
    drained.is_draining = true;
    test.decisions.backends().put(drained);
    test.arrive(profile_of("/plan/x", "a2"), 10);
    REQUIRE(test.only<wait_for_backend>() != nullptr);
    test.decisions.exchange_permits(at_ms(11));
    test.decisions.take_effects();
    test.decisions.on_engine_state(limited, engine_with({{{"m/a2", 1}, false, 0}}, 3), at_ms(100));
    test.effects = test.decisions.take_effects();
    CHECK(test.sent_to(limited) == 0);
    CHECK(test.sent_during(limited, 150, 1'350) == 0);
    test.decisions.on_engine_state(limited, engine_with({{{"m/a2", 1}, false, 0}}, 4),
                                   at_ms(1'360));
    CHECK(test.sent_during(limited, 1'400, 2'300) == 1);
}

TEST_CASE("requests that wait for a permit are sent when the limit ends") {
    limited_fixture test;
    const auto first = test.name_limit(1, 0);
    const auto second = test.name_limit(1, 5);
    test.arrive(profile_of("/book/x"), 100);
    REQUIRE(test.only<wait_for_backend>() != nullptr);
    const auto waiting_at = test.only<wait_for_backend>()->backend_id;
    REQUIRE((waiting_at == first || waiting_at == second));
    test.decisions.on_limit_report("peer", {{waiting_at, 1'000}, std::nullopt, {}}, at_ms(900));
    test.effects = test.decisions.take_effects();
    CHECK(test.sent_to(waiting_at) == 1);
}

TEST_CASE("a limit that a peer reports binds this gateway, too") {
    limited_fixture test;
    for (const auto* id : {"desk-1", "desk-2"}) {
        test.decisions.on_limit_report("peer", {{id, 1'000}, 0.5, {}}, at_ms(0));
    }
    test.decisions.take_effects();
    test.arrive(profile_of("/book/x"), 10);
    CHECK(test.sent_to("desk-1") + test.sent_to("desk-2") == 0);
}
