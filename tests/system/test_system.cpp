#include "system_fleet.h"

#include <agent/backend_service.h>
#include <membership/standing_service.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace camphorgrade;
using namespace camphorgrade::testing;
using nlohmann::json;

namespace {

constexpr duration long_enough{40'000};

std::string text_of(const caller_view& answer) {
    return json::parse(answer.body)["choices"][0]["text"];
}

/** Asks an agent's operators' port to withdraw the fleet's key. */
void withdraw_key(system_fleet& fleet, const std::string& credential) {
    const http_request asked{"POST",
                             "/commands/withdraw-key/" + fleet.key_id(),
                             "",
                             {{"Authorization", "Bearer " + credential}},
                             ""};
    fleet.cluster().post(fleet.engine_agent(0),
                         caller_arrived{"operators", request_id{1'000'000}, asked});
}

/** The text of a stream, put together from its events. */
std::string streamed_text(const caller_view& answer) {
    std::string text;
    std::istringstream lines(answer.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("data: {") && line.find("choices") != std::string::npos) {
            text += json::parse(line.substr(6))["choices"][0]["text"].get<std::string>();
        }
    }
    return text;
}

} // namespace

TEST_CASE("completions run on the adapter and version that was asked for") {
    system_fleet fleet(5, {});
    const auto whole = fleet.complete(0, "hall@v1", "x", 4, false);
    const auto stream = fleet.complete(1, "hall", "y", 4, true);
    REQUIRE(fleet.run_until_answered(long_enough));
    INFO(fleet.answer(whole).body);
    REQUIRE(fleet.answer(whole).status == 200);
    CHECK(text_of(fleet.answer(whole)) == fake_text("hall@v1", "x", 4));
    CHECK(streamed_text(fleet.answer(stream)) == fake_text("hall@v2", "y", 4));
    CHECK(fleet.answer(stream).whole);
}

TEST_CASE("more adapters than slots: all are served and none is evicted in use") {
    system_fleet fleet(5, {.gateways = 2, .engines = 1, .bookings = 0, .slots = 2});
    std::vector<std::pair<std::uint64_t, std::string>> asked;
    for (int i = 0; i < 24; ++i) {
        const std::string model = std::vector<std::string>{
            "hall@v1", "hall@v2", "studio@v1", "plan@v1"}[static_cast<std::size_t>(i % 4)];
        asked.emplace_back(fleet.complete(i % 2, model, std::to_string(i), 6, false), model);
        fleet.cluster().run_for(duration{20});
    }
    REQUIRE(fleet.run_until_answered(long_enough));
    for (std::size_t i = 0; i < asked.size(); ++i) {
        const auto& answer = fleet.answer(asked[i].first);
        INFO(answer.body);
        REQUIRE(answer.status == 200);
        CHECK(text_of(answer) == fake_text(asked[i].second, std::to_string(i), 6));
    }
    CHECK(fleet.servers().evicted_in_use() == 0);
}

TEST_CASE("a booking under one key runs once, whoever asks and how often") {
    system_fleet fleet(5, {});
    const auto first = fleet.book(0, "visit", "key-1");
    const auto raced = fleet.book(1, "visit", "key-1");
    REQUIRE(fleet.run_until_answered(long_enough));
    const auto again = fleet.book(1, "visit", "key-1");
    const auto reused = fleet.book(0, "another", "key-1");
    REQUIRE(fleet.run_until_answered(long_enough));
    CHECK(fleet.servers().count_runs("visit") == 1);
    CHECK(fleet.servers().count_runs("another") == 0);
    CHECK(fleet.answer(first).body == "ran visit");
    CHECK(fleet.answer(raced).body == "ran visit");
    CHECK(fleet.answer(again).body == "ran visit");
    CHECK(fleet.answer(reused).status == 422);
    CHECK(fleet.answer(reused).run() == "not_run");
}

TEST_CASE("while the store is out a booking is refused, truly not run") {
    system_fleet fleet(5, {});
    fleet.cluster().store().mode = harness::store_mode::refusing;
    const auto asked = fleet.book(0, "visit", "key-1");
    REQUIRE(fleet.run_until_answered(long_enough));
    INFO(fleet.answer(asked).body);
    CHECK(fleet.answer(asked).run() == "not_run");
    CHECK(fleet.servers().count_runs("visit") == 0);
}

TEST_CASE("a stream whose engine dies is completed elsewhere, each byte once") {
    system_fleet fleet(5, {});
    const auto asked = fleet.complete(0, "hall", "long", 40, true);
    while (fleet.answer(asked).body.empty()) {
        REQUIRE_FALSE(fleet.answer(asked).ended);
        fleet.cluster().run_for(duration{10});
    }
    fleet.servers().crash(fleet.servers().runs().front().server);
    REQUIRE(fleet.run_until_answered(long_enough));
    CHECK(fleet.answer(asked).whole);
    CHECK(streamed_text(fleet.answer(asked)) == fake_text("hall@v2", "long", 40));
    CHECK(fleet.servers().runs().size() == 2);
}

TEST_CASE("a request that kills engines is quarantined before a third run") {
    system_fleet fleet(5, {.gateways = 2, .engines = 4, .bookings = 0});
    fleet.servers().set_deadly_prompt("deadly");
    const auto innocent = fleet.complete(1, "hall", "innocent", 60, false);
    fleet.cluster().run_for(duration{200});
    for (int i = 0; i < 3; ++i) {
        fleet.complete(i % 2, "hall", "deadly", 4, false);
        REQUIRE(fleet.run_until_answered(long_enough));
    }
    const auto last = fleet.complete(0, "hall", "deadly", 4, false);
    REQUIRE(fleet.run_until_answered(long_enough));
    CHECK(fleet.servers().count_runs("deadly") == 2);
    CHECK(fleet.answer(last).error_type() == "quarantined");
    CHECK(fleet.answer(last).run() == "not_run");
    INFO(fleet.answer(innocent).body);
    CHECK(fleet.answer(innocent).status == 200);
}

TEST_CASE("a withdrawn key stops within five seconds, also while the store is out") {
    system_fleet fleet(5, {});
    fleet.cluster().store().mode = harness::store_mode::refusing;
    withdraw_key(fleet, operator_token);
    fleet.cluster().run_for(duration{5'000});
    const auto asked = fleet.complete(0, "hall", "x", 4, false);
    const auto other = fleet.complete(1, "hall", "x", 4, false);
    REQUIRE(fleet.run_until_answered(long_enough));
    CHECK(fleet.answer(asked).error_type() == "invalid_key");
    CHECK(fleet.answer(other).error_type() == "invalid_key");
}

TEST_CASE("a gateway that is cut off from all others admits nothing on keyed routes") {
    system_fleet fleet(5, {});
    fleet.cluster().cut_from_store(fleet.gateway(0));
    for (const auto& node : fleet.cluster().nodes()) {
        if (node != fleet.gateway(0)) {
            fleet.cluster().cut(fleet.gateway(0), node);
        }
    }
    fleet.cluster().run_for(duration{5'000});
    const auto asked = fleet.complete(0, "hall", "x", 4, false);
    REQUIRE(fleet.run_until_answered(long_enough));
    CHECK(fleet.answer(asked).error_type() == "no_standing");
    CHECK(fleet.answer(asked).run() == "not_run");
}

TEST_CASE("a gateway and an agent that shut down gracefully cut no request") {
    system_fleet fleet(5, {});
    std::vector<std::uint64_t> asked;
    asked.reserve(60);
    for (int i = 0; i < 8; ++i) {
        asked.push_back(fleet.complete(i % 2, "hall", std::to_string(i), 60, i % 2 == 0));
    }
    fleet.cluster().run_for(duration{200});
    fleet.cluster().post(fleet.gateway(0), shutdown_requested{});
    fleet.cluster().post(fleet.engine_agent(0), shutdown_requested{});
    REQUIRE(fleet.run_until_answered(long_enough));
    for (const auto each : asked) {
        CHECK(fleet.answer(each).status == 200);
        CHECK(fleet.answer(each).whole);
    }
    fleet.cluster().run_for(duration{20'000});
    CHECK_FALSE(fleet.cluster().alive(fleet.gateway(0)));
    CHECK_FALSE(fleet.cluster().alive(fleet.engine_agent(0)));
}

TEST_CASE("an adapter that cannot be loaded is refused and blocks no other") {
    system_fleet fleet(5, {.gateways = 1, .engines = 1, .bookings = 0, .slots = 1});
    fleet.servers().refuse_loads_of("plan@v1");
    const auto bad = fleet.complete(0, "plan", "x", 4, false);
    const auto good = fleet.complete(0, "hall", "x", 4, false);
    REQUIRE(fleet.run_until_answered(long_enough));
    INFO(fleet.answer(bad).body);
    CHECK(fleet.answer(bad).run() == "not_run");
    CHECK(fleet.answer(good).status == 200);
}

TEST_CASE("a service whose backend servers are gone is refused, and comes back by itself") {
    system_fleet fleet(5, {.gateways = 1, .engines = 1, .bookings = 1});
    fleet.cluster().kill(fleet.booking_agent(0));
    fleet.cluster().run_for(duration{5'000});
    const auto refused = fleet.book(0, "visit", "key-1");
    const auto other = fleet.complete(0, "hall", "x", 4, false);
    REQUIRE(fleet.run_until_answered(long_enough));
    CHECK(fleet.answer(refused).error_type() == "service_unavailable");
    CHECK(fleet.answer(refused).run() == "not_run");
    CHECK(fleet.answer(other).status == 200);
    fleet.cluster().restart(fleet.booking_agent(0));
    fleet.cluster().run_for(duration{10'000});
    const auto again = fleet.book(0, "visit", "key-1");
    REQUIRE(fleet.run_until_answered(long_enough));
    CHECK(fleet.answer(again).body == "ran visit");
}

TEST_CASE("the last agent of a fleet leaves gracefully, and reports until it has left") {
    system_fleet fleet(5, {.gateways = 1, .engines = 1, .bookings = 0});
    const auto asked = fleet.complete(0, "hall", "x", 200, false);
    fleet.cluster().run_for(duration{1'000});
    fleet.cluster().post(fleet.engine_agent(0), shutdown_requested{});
    REQUIRE(fleet.run_until_answered(long_enough));
    CHECK(fleet.answer(asked).status == 200);
    fleet.cluster().run_for(duration{20'000});
    CHECK_FALSE(fleet.cluster().alive(fleet.engine_agent(0)));
}

TEST_CASE("one of four engines that is down unseen loses no request") {
    system_fleet fleet(5, {.gateways = 2, .engines = 4, .bookings = 0});
    fleet.servers().crash(fleet.engine_endpoint(0));
    std::vector<std::uint64_t> asked;
    asked.reserve(60);
    for (int i = 0; i < 60; ++i) {
        const std::string model = i % 2 == 0 ? "hall@v1" : "studio@v1";
        asked.push_back(fleet.complete(i % 2, model, std::to_string(i), 4, false));
        fleet.cluster().run_for(duration{50});
    }
    REQUIRE(fleet.run_until_answered(long_enough));
    for (const auto each : asked) {
        INFO(fleet.answer(each).body);
        CHECK(fleet.answer(each).status == 200);
    }
}

TEST_CASE("a command without the operators' credential does nothing") {
    system_fleet fleet(5, {});
    for (const char* credential : {"", "wrong", "token-of-the-operators-and-more"}) {
        withdraw_key(fleet, credential);
    }
    fleet.cluster().run_for(duration{5'000});
    const auto asked = fleet.complete(0, "hall", "x", 4, false);
    REQUIRE(fleet.run_until_answered(long_enough));
    CHECK(fleet.answer(asked).status == 200);
}

TEST_CASE(
    "after losing a majority of witnesses for good, removing the epoch record brings it back") {
    system_fleet fleet(5, {.gateways = 2, .engines = 6, .bookings = 1});
    auto& standing =
        fleet.cluster().kernel(fleet.gateway(0)).find<membership::standing_service>("standing");
    const auto witnesses = standing.record().witnesses;
    REQUIRE(witnesses.size() >= 3);
    for (std::size_t i = 0; i < witnesses.size() / 2 + 1; ++i) {
        fleet.cluster().kill(witnesses[i].address);
    }
    fleet.cluster().run_for(duration{60'000});
    const auto refused = fleet.complete(0, "hall", "x", 4, false);
    REQUIRE(fleet.run_until_answered(long_enough));
    CHECK(fleet.answer(refused).run() == "not_run");

    const kv_txn removal{{}, {kv_delete{membership::epoch_key, ""}}, {}};
    fleet.cluster().store_state().apply(removal, fleet.cluster().now());
    fleet.cluster().run_for(duration{60'000});
    for (int gateway = 0; gateway < 2; ++gateway) {
        const auto asked = fleet.complete(gateway, "hall", "x", 4, false);
        REQUIRE(fleet.run_until_answered(long_enough));
        INFO(fleet.answer(asked).body);
        CHECK(fleet.answer(asked).status == 200);
    }
}

TEST_CASE("a caller that goes while its record is being written leaves no seat taken") {
    system_fleet fleet(5, {.gateways = 1, .engines = 1, .bookings = 1});
    fleet.cluster().store().mode = harness::store_mode::silent;
    const auto asked = fleet.book(0, "visit", "key-1");
    fleet.cluster().run_for(duration{500});
    auto& backend =
        fleet.cluster().kernel(fleet.booking_agent(0)).find<agent::backend_service>("forward");
    REQUIRE(backend.status(fleet.cluster().now()).running == 1);
    fleet.cluster().post(fleet.gateway(0), caller_gone{"front", request_id{asked}});
    fleet.cluster().run_for(duration{500});
    CHECK(backend.status(fleet.cluster().now()).running == 0);
    CHECK(fleet.servers().count_runs("visit") == 0);
}
