#include <delivery_sim/trace.h>
#include <delivery_sim/world.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace camphorgrade;
using namespace camphorgrade::delivery;
using namespace camphorgrade::delivery::sim;

namespace {

request_spec request_of(const std::string& name, const std::string& body, const node_id& gateway,
                        const std::string& account = "acme") {
    request_spec spec;
    spec.name = name;
    spec.body = body;
    spec.gateway = gateway;
    spec.account = account;
    spec.time_limit = duration{10'000};
    return spec;
}

quarantine& quarantine_at(world& simulated, const node_id& node) {
    return simulated.cluster().kernel(node).find<quarantine>("quarantine");
}

fingerprint content_of(const std::string& body, const std::string& account = "acme") {
    return quarantine_fingerprint(account, "service", {}, body);
}

} // namespace

TEST_CASE("a killer runs twice at most and those beside it are all answered") {
    rc::prop("quarantine", [] {
        world_settings settings;
        settings.seed = *rc::gen::arbitrary<std::uint32_t>();
        // The retry budget is another test's matter: here it allows what quarantine demands.
        settings.budget.reserve = 100;
        settings.agents = *rc::gen::element(2U, 3U, 5U);
        world simulated(settings);
        simulated.cluster().network().loss = *rc::gen::element(0.0, 0.1);
        simulated.cluster().network().longest_delay = duration{*rc::gen::element(2, 30)};
        const bool store_out = *rc::gen::arbitrary<bool>();
        simulated.cluster().store().mode =
            store_out ? harness::store_mode::refusing : harness::store_mode::up;
        const unsigned beside = *rc::gen::element(0U, 5U, 20U);
        for (unsigned i = 0; i < beside; ++i) {
            const std::string name = "innocent" + std::to_string(i);
            simulated.submit(request_of(name, name, node_id{i % 2 == 0 ? "g1" : "g2"}));
        }
        simulated.run_for(duration{*rc::gen::element(0, 5, 15)});
        // The caller asks again, at any gateway, as soon as it has its answer.
        for (unsigned i = 0; i < 4; ++i) {
            const std::string name = "killer" + std::to_string(i);
            simulated.submit(request_of(name, "poison", node_id{i % 2 == 0 ? "g2" : "g1"}));
            while (!simulated.callers().at(name).done()) {
                simulated.run_for(duration{1});
            }
        }
        simulated.run_for(duration{12'000});
        for (const observation& each : simulated.observations()) {
            RC_LOG() << text_of(each) << "\n";
        }
        RC_ASSERT(simulated.runs("poison") <= 2U);
        for (unsigned i = 0; i < beside; ++i) {
            RC_ASSERT(simulated.callers().at("innocent" + std::to_string(i)).whole);
        }
        const auto views = quarantine_at(simulated, node_id{"g1"}).list(simulated.cluster().now());
        for (const quarantine_view& each : views) {
            RC_ASSERT(each.suspect.content == content_of("poison"));
        }
    });
}

TEST_CASE("a quarantine is seen by operators, can be lifted and ends by itself") {
    world simulated({});
    const node_id gateway{"g1"};
    simulated.submit(request_of("killer", "poison", gateway));
    simulated.run_for(duration{2'000});
    const fingerprint content = content_of("poison");
    const time_point now = simulated.cluster().now();
    quarantine& known = quarantine_at(simulated, gateway);
    const auto views = known.list(now);
    REQUIRE(views.size() == 1);
    CHECK(views.front().deaths == 2);
    CHECK(views.front().suspect.client_account == "acme");
    CHECK(views.front().standing.verdict == quarantine_verdict::refuse);
    CHECK(known.standing(content_of("poison", "other"), now).verdict == quarantine_verdict::run);
    CHECK(known.standing(content, now + views.front().standing.ends_in).verdict !=
          quarantine_verdict::refuse);
    simulated.cluster().act(gateway, [&](micro_kernel& kernel, step& at) {
        CHECK(kernel.find<quarantine>("quarantine").lift(content, at));
    });
    simulated.run_for(duration{100});
    for (const char* node : {"g1", "g2", "a1", "a3"}) {
        CHECK(quarantine_at(simulated, node_id{node})
                  .standing(content, simulated.cluster().now())
                  .verdict == quarantine_verdict::run);
    }
}

TEST_CASE("a process that starts later learns of the quarantine from the store") {
    world simulated({});
    simulated.submit(request_of("killer", "poison", node_id{"g1"}));
    simulated.run_for(duration{2'000});
    simulated.kill(node_id{"g2"});
    simulated.restart(node_id{"g2"});
    simulated.run_for(duration{50});
    CHECK(quarantine_at(simulated, node_id{"g2"})
              .standing(content_of("poison"), simulated.cluster().now())
              .verdict == quarantine_verdict::refuse);
}
