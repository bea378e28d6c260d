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

TEST_CASE("a gateway hands its shares back before it leaves the epoch") {
    fleet all(5, 3, 5);
    all.start(100, 10'000);
    const node_id leaver = all.gateways()[1];
    all.cluster.act(leaver, [](micro_kernel& kernel, step& now) {
        kernel.find<limits_service>("limits").hand_back(now);
    });
    CHECK(all.admit(leaver, 1).refusal.reason == refusal_reason::leaving);
    all.cluster.run_for(duration{1'000});
    REQUIRE(all.limits(leaver).handed_back());
    CHECK(all.held().rate_parts == whole);
    all.cluster.act(leaver, [](micro_kernel& kernel, step& now) {
        kernel.find<membership::standing_service>("standing").leave(now);
    });
    all.cluster.run_for(duration{1'000});
    CHECK(all.standing(leaver).left());
    CHECK(all.standing(all.gateways()[0]).record().members.size() == 2);
    CHECK(all.held().rate_parts == whole);
}

TEST_CASE("a fleet of which every process was restarted begins anew by itself") {
    fleet all(5, 3, 5);
    all.start(100, 10'000);
    for (const node_id& each : all.cluster.nodes()) {
        all.cluster.kill(each);
    }
    all.cluster.run_for(duration{1'000});
    for (const node_id& each : all.cluster.nodes()) {
        all.cluster.restart(each);
    }
    all.start(100, 10'000);
    for (const node_id& each : all.gateways()) {
        CHECK(all.standing(each).has_standing(all.cluster.now()));
    }
    CHECK(all.held().rate_parts == whole);
}

TEST_CASE("calls to the store do not grow with the requests") {
    std::uint64_t calls[2] = {};
    for (const int requests : {0, 1}) {
        fleet all(5, 3, 5);
        all.start(1'000, 10'000);
        const std::uint64_t before = all.cluster.store_calls();
        for (int i = 0; i < 1'000; ++i) {
            for (int j = 0; j < 5 * requests; ++j) {
                all.admit(all.gateways()[static_cast<std::size_t>(j) % 3], 1);
            }
            all.cluster.run_for(duration{10});
        }
        calls[requests] = all.cluster.store_calls() - before;
    }
    CHECK(calls[0] == calls[1]);
}

TEST_CASE("an agent refuses what a sealed gateway admitted") {
    fleet all(5, 3, 5);
    all.start(100, 10'000);
    const node_id gateway = all.gateways()[2];
    const incarnation life = all.cluster.kernel(gateway).life();
    const std::uint64_t epoch = all.standing(gateway).epoch();
    const node_id agent = all.agents()[0];
    CHECK(all.standing(agent).accepts(epoch, gateway, life));
    all.cluster.store().mode = harness::store_mode::refusing;
    all.cluster.pause(gateway);
    all.cluster.run_for(duration{12'000});
    CHECK_FALSE(all.standing(agent).accepts(epoch, gateway, life));
    all.cluster.resume(gateway);
    CHECK(all.admit(gateway, 1).refusal.reason == refusal_reason::no_standing);
}

TEST_CASE("a waiting request is refused when its deadline comes, also behind one that may wait") {
    fleet all(5, 2, 3);
    all.start(10, 1'000);
    const node_id gateway = all.gateways()[0];
    all.cluster.pause(all.gateways()[1]); // so that the search for tokens takes its time
    while (all.admit(gateway, 5).state == admission_state::admitted) {
    }
    REQUIRE(all.admit(gateway, 1, duration{30}).state == admission_state::waiting);
    all.cluster.run_for(duration{29});
    CHECK(all.refused_late() == 0);
    all.cluster.run_for(duration{2});
    CHECK(all.refused_late() == 1);
}
