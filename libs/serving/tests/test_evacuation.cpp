#include "serving_fixture.h"

#include <catch2/catch.hpp>

#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

evacuation_state state_at(std::uint64_t revision, std::set<std::string> data_centres) {
    return {std::move(data_centres), {1, revision}};
}

/** Moves "desk-2" and "engine-2" to the data centre "dc-2". */
void spread(dispatcher_fixture& test) {
    for (const auto* id : {"desk-2", "engine-2"}) {
        auto moved = server_of(id, id[0] == 'd' ? "desk" : "llm");
        moved.data_centre = "dc-2";
        test.decisions.on_registration(moved, at_ms(1));
    }
}

std::string sent_to(const dispatcher_fixture& test) {
    const auto* sent = test.only<send_attempt>();
    return sent == nullptr ? std::string{} : sent->backend_id;
}

} // namespace

TEST_CASE("servers of an evacuated data centre get nothing until it is taken back") {
    dispatcher_fixture test;
    spread(test);
    CHECK(test.decisions.set_evacuations(state_at(5, {"dc-1"}), at_ms(10)));
    for (int i = 0; i < 20; ++i) {
        test.arrive(profile_of("/read/x"), 20 + i);
        CHECK(sent_to(test) == "desk-2");
    }
    // A server that registers there now is evacuated as well.
    test.decisions.on_registration(server_of("desk-3", "desk"), at_ms(50));
    test.arrive(profile_of("/read/x"), 51);
    CHECK(sent_to(test) == "desk-2");
    CHECK(test.decisions.set_evacuations(state_at(6, {}), at_ms(60)));
    test.arrive(profile_of("/read/x"), 70);
    CHECK(sent_to(test) != "desk-2");
}

TEST_CASE("a retry doesn't go to an evacuated data centre, and is refused if no other is left") {
    dispatcher_fixture test;
    spread(test);
    test.decisions.set_evacuations(state_at(5, {"dc-1"}), at_ms(10));
    const auto id = test.arrive(profile_of("/read/x"), 20);
    REQUIRE(sent_to(test) == "desk-2");
    test.ended(id, attempt_outcome::unreachable, 30);
    CHECK(test.only<send_attempt>() == nullptr);
    CHECK(test.only<end_request>() != nullptr);
}

TEST_CASE("a request that waits in a data centre is placed elsewhere when it is evacuated") {
    dispatcher_fixture test;
    const auto id = test.arrive(profile_of("/plan/x", "a1"), 10);
    const auto waits_at = test.decisions.backend_of(id);
    REQUIRE_FALSE(waits_at.empty());
    const std::string other = waits_at == "engine-1" ? "engine-2" : "engine-1";
    auto moved = server_of(other, "llm");
    moved.data_centre = "dc-2";
    test.decisions.on_registration(moved, at_ms(15));
    test.decisions.set_evacuations(state_at(5, {"dc-1"}), at_ms(20));
    CHECK(test.decisions.backend_of(id) == other);
}

TEST_CASE("an older statement of the evacuated data centres doesn't replace a newer one") {
    dispatcher_fixture test;
    CHECK(test.decisions.set_evacuations(state_at(7, {"dc-1"}), at_ms(10)));
    CHECK_FALSE(test.decisions.set_evacuations(state_at(6, {}), at_ms(11)));
    CHECK(test.decisions.backends().evacuated() == std::set<std::string>{"dc-1"});
    // A store that came back from an older copy counts its revisions anew.
    CHECK(test.decisions.set_evacuations({{}, {2, 3}}, at_ms(12)));
    CHECK(test.decisions.backends().evacuated().empty());
}

TEST_CASE("gateways that only hear each other stop sending to an evacuated data centre") {
    constexpr duration report_interval{900};
    for (const std::size_t count : {1, 4, 16, 26, 60}) {
        INFO(count << " gateways");
        std::vector<std::unique_ptr<dispatcher_fixture>> gateways;
        for (std::size_t i = 0; i < count; ++i) {
            gateways.push_back(std::make_unique<dispatcher_fixture>());
        }
        auto now = at_ms(10);
        gateways.front()->decisions.set_evacuations(state_at(5, {"dc-1"}), now);
        // Reports pass along a chain, the longest way there is; the middle gateway restarts.
        for (std::size_t round = 0; round < count; ++round) {
            now += report_interval;
            if (round > 0 && round == count / 2) {
                gateways[count / 2] = std::make_unique<dispatcher_fixture>();
            }
            for (std::size_t i = count - 1; i > 0; --i) {
                const auto& heard = gateways[i - 1]->decisions.evacuations();
                if (heard) {
                    gateways[i]->decisions.set_evacuations(*heard, now);
                }
            }
        }
        for (const auto& each : gateways) {
            CHECK(each->decisions.backends().evacuated() == std::set<std::string>{"dc-1"});
        }
    }
}
