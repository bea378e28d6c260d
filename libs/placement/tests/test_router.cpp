#include <placement/reporter.h>
#include <placement/router_service.h>

#include <wire/placement.pb.h>

#include <kernel/micro_kernel.h>

#include <catch2/catch.hpp>

#include <map>
#include <memory>

using namespace camphorgrade;
using namespace camphorgrade::placement;

namespace {

const adapter_ref hot{"hot", "1"};
const adapter_ref rare{"rare", "1"};

time_point at(std::int64_t ms) {
    return time_point{duration{ms}};
}

node_id node(std::size_t i) {
    return node_id{"10.0.0." + std::to_string(i) + ":7000"};
}

agent_status idle() {
    agent_status status;
    status.pool = "base";
    status.free_seats = 8;
    status.tokens_per_s = 400;
    status.obtainable_slots = 4;
    return status;
}

agent_status holding(const adapter_ref& adapter) {
    agent_status status = idle();
    status.slots = {{digest(adapter), true, 0}};
    return status;
}

route_request ask(const adapter_ref& adapter) {
    route_request request;
    request.pool = "base";
    request.adapter = adapter;
    request.cost = 100;
    return request;
}

/** A router with `agents` idle agents that have just reported. */
router fresh(std::size_t agents, time_point now) {
    router routes({});
    for (std::size_t i = 0; i < agents; ++i) {
        routes.on_report(node(i), idle(), duration{1000}, now);
    }
    return routes;
}

node_id chosen(const route& to) {
    REQUIRE(std::holds_alternative<node_id>(to));
    return std::get<node_id>(to);
}

/** Reports what it is told to. */
struct fixed_source final : status_source {
    agent_status status(time_point /*now*/) const override { return current; }
    agent_status current;
};

} // namespace

TEST_CASE("an agent that has the adapter comes first") {
    router routes = fresh(10, at(0));
    routes.on_report(node(4), holding(hot), duration{1000}, at(0));
    random_source random(1);
    CHECK(chosen(routes.choose(ask(hot), at(1), random)) == node(4));
    CHECK(routes.choose(ask({"hot", "2"}), at(1), random) != route{node(4)});
}

TEST_CASE("all gateways load a missing adapter at the same agent") {
    router one = fresh(10, at(0));
    router other = fresh(10, at(0));
    random_source random(1);
    random_source another(2);
    CHECK(one.choose(ask(rare), at(1), random) == other.choose(ask(rare), at(1), another));
}

TEST_CASE("an overloaded holder gets a second replica beside it") {
    router routes = fresh(4, at(0));
    agent_status full = holding(hot);
    full.running = 8;
    full.free_seats = 0;
    full.long_tokens = 2000;
    routes.on_report(node(2), full, duration{1000}, at(0));
    random_source random(1);
    CHECK(chosen(routes.choose(ask(hot), at(1), random)) != node(2));
}

TEST_CASE("leaving, silent, excluded and unavailable agents get nothing") {
    router routes = fresh(4, at(0));
    agent_status leaving = holding(hot);
    leaving.leaving = true;
    routes.on_report(node(0), leaving, duration{1000}, at(3500));
    routes.on_report(node(1), idle(), duration{1000}, at(3500));
    routes.on_report(node(2), idle(), duration{1000}, at(3500));
    routes.set_unavailable({node(1)});
    random_source random(1);
    for (int i = 0; i < 20; ++i) {
        CHECK(chosen(routes.choose(ask(hot), at(3600), random)) == node(2));
    }
    route_request request = ask(hot);
    request.excluded = {node(2)};
    const route refused = routes.choose(request, at(3600), random);
    REQUIRE(std::holds_alternative<route_refusal>(refused));
    CHECK(std::get<route_refusal>(refused).reason == route_refusal_reason::no_backend);
}

TEST_CASE("a burst between two reports does not herd onto one agent") {
    router routes = fresh(8, at(0));
    for (std::size_t i = 0; i < 8; ++i) {
        routes.on_report(node(i), holding(hot), duration{1000}, at(0));
    }
    random_source random(1);
    std::map<node_id, int> sent;
    for (int i = 0; i < 400; ++i) {
        ++sent[chosen(routes.choose(ask(hot), at(100), random))];
    }
    CHECK(sent.size() >= 6);
    for (const auto& [agent, count] : sent) {
        CHECK(count <= 100);
    }
}

TEST_CASE("replicas follow popularity within seconds") {
    router routes = fresh(10, at(0));
    random_source random(1);
    for (int i = 0; i < 1000; ++i) {
        const adapter_ref spread{"a" + std::to_string(i % 50), "1"};
        const time_point now = at(1 + i * std::int64_t{10});
        if (i % 10 == 0) {
            for (std::size_t n = 0; n < 10; ++n) {
                agent_status busy = idle();
                busy.running = 8;
                busy.free_seats = 0;
                routes.on_report(node(n), busy, duration{1000}, now);
            }
        }
        routes.choose(ask(spread), now, random);
    }
    CHECK(routes.replicas(hot, 10, at(10000)) == 1);
    for (int i = 0; i < 300; ++i) {
        routes.choose(ask(hot), at(10000 + i * 10), random);
    }
    CHECK(routes.replicas(hot, 10, at(13000)) >= 3);
}

TEST_CASE("a pool full of waiting work is refused honestly") {
    router routes({});
    agent_status full = idle();
    full.running = 8;
    full.free_seats = 0;
    full.long_tokens = 24000;
    routes.on_report(node(0), full, duration{1000}, at(0));
    random_source random(1);
    const route refused = routes.choose(ask(hot), at(1), random);
    REQUIRE(std::holds_alternative<route_refusal>(refused));
    CHECK(std::get<route_refusal>(refused).reason == route_refusal_reason::overloaded);
    CHECK(std::get<route_refusal>(refused).retry_after > duration{0});
}

TEST_CASE("a plain service goes to the less loaded of two") {
    router routes = fresh(2, at(0));
    agent_status busy = idle();
    busy.running = 6;
    busy.free_seats = 2;
    routes.on_report(node(0), busy, duration{1000}, at(0));
    random_source random(1);
    int to_idle = 0;
    for (int i = 0; i < 4; ++i) {
        to_idle += chosen(routes.choose(ask({}), at(1), random)) == node(1) ? 1 : 0;
    }
    CHECK(to_idle >= 2);
}

TEST_CASE("reports reach the router as they are, and old ones are ignored") {
    fixed_source source;
    source.current = holding(hot);
    for (std::uint64_t i = 0; i < 7; ++i) {
        source.current.slots.push_back({i, true, 1});
    }
    micro_kernel agent(node(0), incarnation{1}, 1);
    auto added = std::make_unique<reporter>(reporter_settings{});
    reporter& reports = *added;
    reports.set_source(source);
    reports.set_gateways({node_id{"gateway"}});
    agent.add(std::move(added));
    micro_kernel gateway(node_id{"gateway"}, incarnation{1}, 1);
    gateway.add(std::make_unique<router_service>(router_settings{}));
    gateway.start(at(0));

    const auto armed = std::get<set_timer>(agent.start(at(0)).at(0));
    const auto effects = agent.handle(timer_fired{"reporter", armed.id}, at(0));
    const message first = std::get<send_message>(effects.at(0)).content;
    CHECK(first.payload.size() < 200);
    gateway.handle(message_received{first}, at(5));
    auto& routes = gateway.find<router_service>("router").routes();
    CHECK(routes.available("base", at(6)) == 1);

    const token next = std::get<set_timer>(effects.at(1)).id;
    const auto later = agent.handle(timer_fired{"reporter", next}, at(1000));
    const message second = std::get<send_message>(later.at(0)).content;
    CHECK(second.payload.size() < 60);
    source.current.leaving = true;
    const token third = std::get<set_timer>(later.at(1)).id;
    const auto last = agent.handle(timer_fired{"reporter", third}, at(2000));
    const message leaves = std::get<send_message>(last.at(0)).content;
    gateway.handle(message_received{leaves}, at(2005));
    gateway.handle(message_received{second}, at(2006));
    CHECK(routes.available("base", at(2010)) == 0);
    CHECK(reports.interval() == duration{100});
    std::vector<node_id> many(50, node_id{"gateway"});
    reports.set_gateways(many);
    constexpr std::uint64_t bytes_per_s = reporter_settings{}.bytes_per_s;
    const std::uint64_t sent = leaves.payload.size() * many.size();
    CHECK(reports.interval() == duration{sent * 1000 / bytes_per_s});
    reports.set_gateways({node_id{"gateway"}});
    reports.set_agents(100);
    CHECK(reports.interval() == duration{leaves.payload.size() * 100 * 1000 / 4000});
}
