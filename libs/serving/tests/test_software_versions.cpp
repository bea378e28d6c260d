#include <serving/software_exchange.h>
#include <serving/software_versions.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::serving;

namespace {

time_point at(std::int64_t ms) {
    return time_point{duration{1'000'000 + ms}};
}

software_versions restarted() {
    software_versions_settings settings;
    settings.is_restart = true;
    return software_versions(settings);
}

backend_registry fleet_of(const std::string& version) {
    backend_registry out({});
    backend_server server;
    server.id = "server-" + version;
    server.service = "s1";
    server.software_version = version;
    out.put(server);
    return out;
}

/** Observes the fleet each 200 ms from `begin` to `end`, both in ms. */
void observe(software_versions& versions, const backend_registry& fleet, std::int64_t begin,
             std::int64_t end) {
    constexpr std::int64_t interval = 200;
    for (auto ms = begin; ms <= end; ms += interval) {
        versions.observe(fleet, at(ms));
    }
}

} // namespace

TEST_CASE("at the first start nothing has served before, after a restart that isn't known") {
    const auto fleet = fleet_of("v1");
    software_versions first({});
    first.observe(fleet, at(0));
    CHECK(first.is_known_since(at(-30'000)));
    auto later = restarted();
    later.observe(fleet, at(0));
    CHECK_FALSE(later.is_known_since(at(-1)));
    CHECK(later.needs_history(at(0)));
}

// Guards against a gateway that was suspended while another version came and went, and then took
// the version that it had seen all along for the only one.
TEST_CASE("a suspended process doesn't know what served meanwhile until another one tells") {
    const auto fleet = fleet_of("v1");
    software_versions suspended({});
    observe(suspended, fleet, 0, 1'000);
    observe(suspended, fleet, 11'000, 11'200);
    CHECK_FALSE(suspended.is_known_since(at(10'000)));

    software_versions awake({});
    observe(awake, fleet, 0, 2'000);
    observe(awake, fleet_of("v2"), 2'200, 3'000);
    observe(awake, fleet, 3'200, 11'200);
    suspended.learn(awake.history(at(11'200)), at(11'200));
    CHECK(suspended.is_known_since(at(-30'000)));
    CHECK(suspended.of_service("s1", at(0)) == std::set<std::string>{"v1", "v2"});
    CHECK(suspended.of_service("s1", at(3'001)) == std::set<std::string>{"v1"});
}

TEST_CASE("what another process knew is joined only if little time lies between") {
    const auto fleet = fleet_of("v1");
    software_versions earlier({});
    observe(earlier, fleet, 0, 1'000);
    const auto told = [&](std::int64_t ms) { return earlier.history(at(ms)); };

    auto soon = restarted();
    soon.learn(told(6'000), at(6'000)); // before the first observation
    soon.observe(fleet, at(6'000));
    CHECK(soon.is_known_since(at(-30'000)));

    auto late = restarted();
    late.observe(fleet, at(20'000));
    late.learn(told(20'000), at(20'000));
    CHECK_FALSE(late.is_known_since(at(19'999)));
}

TEST_CASE("a version is forgotten after its time, and so is the time before") {
    software_versions versions({});
    observe(versions, fleet_of("v1"), 0, 1'000);
    observe(versions, fleet_of("v2"), 1'200, 70'000);
    CHECK(versions.mixed_services().empty());
    CHECK(versions.is_known_since(at(10'000)));
    CHECK_FALSE(versions.is_known_since(at(9'000)));
}

TEST_CASE("a gateway that learns of a new version tells others at once") {
    software_versions versions({});
    software_exchange exchange(versions, {});
    exchange.set_gateways("g1", {"g1", "g2", "g3"});
    exchange.set_agents({"a1"});
    versions.observe(fleet_of("v1"), at(0));
    exchange.take_messages(at(0));
    versions.observe(fleet_of("v2"), at(10));
    std::set<std::string> told;
    for (const auto& each : exchange.take_messages(at(10))) {
        CHECK(each.body.history.records.size() == 2);
        told.insert(each.to);
    }
    CHECK(told == std::set<std::string>{"a1", "g2", "g3"});
}

TEST_CASE("a gateway asks until the whole history is known, and less often with time") {
    auto versions = restarted();
    software_exchange exchange(versions, {});
    exchange.set_gateways("g1", {"g1", "g2"});
    std::size_t queries = 0;
    for (std::int64_t ms = 0; ms < 10'000; ms += 50) {
        versions.observe(fleet_of("v1"), at(ms));
        for (const auto& each : exchange.take_messages(at(ms))) {
            queries += each.body.is_query ? 1 : 0;
        }
    }
    CHECK(queries > 8);
    CHECK(queries < 20);

    software_versions other({});
    other.observe(fleet_of("v1"), at(10'000));
    exchange.on_message("g2", {false, other.history(at(10'000))}, at(10'000));
    CHECK(exchange.take_messages(at(12'000)).empty());
}
