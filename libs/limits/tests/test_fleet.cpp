#include "fleet.h"

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::limits;
using test::fleet;

TEST_CASE("a fleet without faults has all of its shares and admits") {
    fleet all(5, 3, 5);
    all.start(100, 10'000);
    for (const node_id& each : all.gateways()) {
        CHECK(all.standing(each).has_standing(all.cluster.now()));
    }
    CHECK(all.standing(all.gateways()[0]).record().witnesses.size() == 5);
    CHECK(all.held().rate_parts == whole);
    CHECK(all.held().burst_parts == whole);
    CHECK(all.admit(all.gateways()[0], 10).state == admission_state::admitted);
}

TEST_CASE("a killed gateway's share is usable again within 15 s, with the store up and out") {
    const bool store_up = GENERATE(true, false);
    fleet all(5, 4, 5);
    all.start(100, 10'000);
    if (!store_up) {
        all.cluster.store().mode = harness::store_mode::refusing;
    }
    all.cluster.kill(all.gateways()[GENERATE(0, 2)]);
    CHECK(all.held().rate_parts < whole);
    all.cluster.run_for(duration{15'000});
    CHECK(all.held().rate_parts == whole);
    CHECK(all.held().burst_parts == whole);
}

TEST_CASE("a request as large as the burst gathers it from all gateways") {
    fleet all(5, 4, 5);
    all.start(1'000, 10'000);
    all.cluster.run_for(duration{12'000});
    CHECK(all.admit(all.gateways()[1], 10'001).refusal.reason == refusal_reason::never_fits);
    CHECK(all.admit(all.gateways()[1], 10'000).state == admission_state::waiting);
    all.cluster.run_for(duration{1'000});
    CHECK(all.all_received().size() == 1);
}
