#include <adapters/adapter_manager.h>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::adapters;

namespace {

time_point at_ms(std::int64_t ms) {
    return time_point{duration{ms}};
}

constexpr std::uint32_t slots = 3;

engine_demand demand_of(std::vector<wanted_adapter> adapters) {
    engine_demand out;
    out.backend_id = "e1";
    out.adapters = std::move(adapters);
    out.shape.adapter_slots = slots;
    out.shape.weights_capacity_mb = 1'000;
    out.shape.models = {{"m", 900, 1, duration{1'000}}};
    return out;
}

wanted_adapter waits_for(const std::string& name, std::uint32_t urgency = 5,
                         std::int64_t waited_ms = 0, std::uint64_t version = 0) {
    return {{name, version}, 1, 0, duration{waited_ms}, urgency};
}

wanted_adapter uses(const std::string& name) {
    return {{name, 0}, 0, 1, {}, 5};
}

/** An engine that follows the published protocol: loads take time, a sequence counts orders. */
class fake_engine {
public:
    engine_snapshot snapshot() const {
        engine_snapshot out;
        out.started_at_ms = started_at_ms;
        out.order_sequence = sequence;
        if (has_model) {
            out.models = {{"m", 1}};
        }
        out.adapters.assign(resident.begin(), resident.end());
        out.loading.assign(loading.begin(), loading.end());
        return out;
    }

    order_result execute(const engine_order& order) {
        if (order.expected_sequence != sequence || order.fencing_token < highest_token) {
            return order_result::refused;
        }
        highest_token = order.fencing_token;
        ++sequence;
        if (order.kind == order_kind::unload) {
            std::erase_if(resident,
                          [&](const auto& each) { return each.name == order.weights.name; });
        } else if (order.weights.name == "m") {
            has_model = true;
        } else if (is_resident(order.weights.name)) {
            // A replacement waits for requests on the old version and is not listed meanwhile.
            replacing.insert(
                {order.weights.name, std::max<std::uint64_t>(order.weights.version, 1)});
        } else {
            loading.insert({order.weights.name, std::max<std::uint64_t>(order.weights.version, 1)});
        }
        max_held = std::max(max_held, held());
        return order_result::accepted;
    }

    void finish_loads() {
        for (const auto& each : replacing) {
            std::erase_if(resident, [&](const auto& other) { return other.name == each.name; });
            resident.insert(each);
        }
        replacing.clear();
        for (const auto& each : loading) {
            std::erase_if(resident, [&](const auto& other) { return other.name == each.name; });
            resident.insert(each);
        }
        loading.clear();
    }

    bool is_resident(const std::string& name) const {
        return std::any_of(resident.begin(), resident.end(),
                           [&](const auto& each) { return each.name == name; });
    }

    void restart() {
        replacing.clear();
        resident.clear();
        loading.clear();
        has_model = false;
        sequence = 0;
        highest_token = 0;
        ++started_at_ms;
    }

    std::size_t held() const {
        std::set<std::string> names;
        for (const auto& each : resident) {
            names.insert(each.name);
        }
        for (const auto& each : loading) {
            names.insert(each.name);
        }
        return names.size();
    }

    std::uint64_t started_at_ms = 1;
    std::uint64_t sequence = 0;
    std::uint64_t highest_token = 0;
    bool has_model = true;
    std::set<serving::versioned_weights> resident;
    std::set<serving::versioned_weights> loading;
    std::set<serving::versioned_weights> replacing;
    std::size_t max_held = 0;
};

/** An adapter_manager that has received a snapshot of its engine, and the engine. */
struct fixture {
    fixture() : manager({}) { poll(0); }

    void poll(std::int64_t ms) {
        manager.on_snapshot(engine.snapshot(), manager.order_result_count(), at_ms(ms));
    }

    void demand(const std::string& gateway, std::vector<wanted_adapter> adapters, std::int64_t ms) {
        manager.on_demand(gateway, demand_of(std::move(adapters)), at_ms(ms));
    }

    /** Executes orders until there are none left; returns them. */
    std::vector<engine_order> run_orders(std::int64_t ms) {
        std::vector<engine_order> executed;
        while (const auto order = manager.next_order(at_ms(ms))) {
            executed.push_back(*order);
            manager.on_order_result(*order, engine.execute(*order), at_ms(ms));
            poll(ms);
        }
        return executed;
    }

    /** Loads an adapter from the weight store in `load_ms` ms and removes it again. */
    void load_one(std::int64_t load_ms) {
        demand("g0", {waits_for("m/first")}, 0);
        run_orders(0);
        engine.finish_loads();
        poll(load_ms);
        demand("g0", {}, load_ms);
        engine.resident.clear();
        poll(load_ms);
    }

    fake_engine engine;
    adapter_manager manager;
};

std::vector<std::string> loads_of(const std::vector<engine_order>& orders) {
    std::vector<std::string> out;
    for (const auto& each : orders) {
        if (each.kind == order_kind::load) {
            out.push_back(each.weights.name);
        }
    }
    return out;
}

} // namespace

TEST_CASE("adapters are loaded by urgency, then by waiting time, a few in parallel") {
    fixture with;
    with.load_one(250);
    with.demand(
        "g1", {waits_for("m/a1", 5, 100), waits_for("m/a2", 5, 300), waits_for("m/a3", 1, 0)}, 400);
    CHECK(loads_of(with.run_orders(400)) == std::vector<std::string>{"m/a3", "m/a2"});
    with.engine.finish_loads();
    with.poll(700);
    CHECK(loads_of(with.run_orders(700)) == std::vector<std::string>{"m/a1"});
}

TEST_CASE("the least recently used adapter that nobody wants is evicted") {
    fixture with;
    with.engine.resident = {{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}};
    with.poll(0);
    with.demand("g1", {uses("m/a1"), uses("m/a2")}, 0);
    with.demand("g1", {uses("m/a2")}, 100);
    with.demand("g2", {uses("m/a3")}, 150);
    with.demand("g1", {uses("m/a2"), waits_for("m/a9")}, 200);
    const auto orders = with.run_orders(200);
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].kind == order_kind::unload);
    CHECK(orders[0].weights.name == "m/a1");
    CHECK(orders[1].weights.name == "m/a9");
}

TEST_CASE("load: adapters that are requested once do not evict one that is used repeatedly") {
    fixture with;
    constexpr std::int64_t end_ms = 30'000;
    constexpr std::int64_t use_ms = 200;
    constexpr std::int64_t popular_interval_ms = 2'000;
    constexpr std::int64_t others_interval_ms = 500;
    int popular_loads = 0;
    for (std::int64_t ms = 0; ms < end_ms; ms += 100) {
        with.engine.finish_loads();
        with.poll(ms);
        std::vector<wanted_adapter> adapters;
        if (ms % popular_interval_ms < use_ms) {
            const bool is_there = with.engine.is_resident("m/popular");
            adapters.push_back(is_there ? uses("m/popular") : waits_for("m/popular"));
        }
        if (ms % others_interval_ms < use_ms) {
            const auto name = "m/once" + std::to_string(ms / others_interval_ms);
            adapters.push_back(with.engine.is_resident(name) ? uses(name) : waits_for(name));
        }
        with.demand("g1", std::move(adapters), ms);
        for (const auto& loaded : loads_of(with.run_orders(ms))) {
            popular_loads += loaded == "m/popular" ? 1 : 0;
        }
    }
    CHECK(popular_loads <= 3);
}

TEST_CASE("an adapter that was popular is evicted when nobody requests it any more") {
    fixture with;
    with.engine.resident = {{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}};
    with.poll(0);
    for (std::int64_t ms = 0; ms < 10'000; ms += 200) {
        with.demand("g1", ms % 400 == 0 ? std::vector{uses("m/a1")} : std::vector<wanted_adapter>{},
                    ms);
    }
    with.demand("g1", {uses("m/a2"), uses("m/a3")}, 25'000);
    with.demand("g1", {waits_for("m/a9")}, 25'100);
    const auto orders = with.run_orders(25'100);
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].weights.name == "m/a1");
}

TEST_CASE("an adapter that a request uses or waits for is not evicted") {
    fixture with;
    with.engine.resident = {{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}};
    with.poll(0);
    with.demand("g1", {uses("m/a1"), uses("m/a2")}, 0);
    with.demand("g2", {waits_for("m/a3"), waits_for("m/a9")}, 0);
    CHECK(with.run_orders(0).empty());
    CHECK(with.manager.state(at_ms(600)).available_adapter_slots == 0);
    CHECK(with.manager.state(at_ms(600)).unplaced == 1);
}

TEST_CASE("the demand of a silent gateway expires") {
    fixture with;
    with.engine.resident = {{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}};
    with.poll(0);
    with.demand("g1", {uses("m/a1"), uses("m/a2"), uses("m/a3")}, 0);
    with.demand("g2", {waits_for("m/a9")}, 2'500);
    CHECK(loads_of(with.run_orders(2'500)) == std::vector<std::string>{"m/a9"});
}

TEST_CASE("a newer version of an adapter replaces the older one in its slot") {
    fixture with;
    with.engine.resident = {{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}};
    with.poll(0);
    with.demand("g1", {waits_for("m/a1", 5, 0, 2)}, 0);
    const auto orders = with.run_orders(0);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].weights == serving::versioned_weights{"m/a1", 2});
}

TEST_CASE("a replacement that waits for requests does not delay other loads") {
    fixture with;
    with.engine.resident = {{"m/a1", 1}, {"m/a2", 1}};
    with.poll(0);
    with.demand("g1", {waits_for("m/a1", 1, 900, 2), waits_for("m/a9", 5)}, 0);
    CHECK(loads_of(with.run_orders(0)) == std::vector<std::string>{"m/a1", "m/a9"});
}

TEST_CASE("an engine that restarted empty loads its base model first") {
    fixture with;
    with.engine.restart();
    with.poll(0);
    with.demand("g1", {waits_for("m/a1")}, 0);
    const auto orders = with.run_orders(0);
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].weights.name == "m");
    CHECK(orders[0].fencing_token == with.engine.started_at_ms);
    CHECK(orders[1].weights.name == "m/a1");
}

TEST_CASE("a demand for another process of the engine is ignored and does not set its id") {
    fixture with;
    with.engine.restart();
    with.poll(0);
    auto old = demand_of({waits_for("m/a1")});
    old.backend_started_at_ms = with.engine.started_at_ms - 1;
    CHECK(with.manager.on_demand("g1", old, at_ms(0)) == demand_result::for_earlier_process);
    CHECK(with.manager.backend_id().empty());
    CHECK_FALSE(with.manager.next_order(at_ms(0)).has_value());
    auto current = demand_of({});
    current.backend_id = "e2";
    current.backend_started_at_ms = with.engine.started_at_ms;
    CHECK(with.manager.on_demand("g1", current, at_ms(1)) == demand_result::accepted);
    CHECK(with.manager.on_demand("g1", old, at_ms(2)) == demand_result::for_earlier_process);
    auto next = current;
    next.backend_started_at_ms = with.engine.started_at_ms + 1;
    CHECK(with.manager.on_demand("g1", next, at_ms(2)) == demand_result::for_later_process);
    CHECK(with.manager.backend_id() == "e2");
    CHECK(with.run_orders(2).size() == 1);
}

TEST_CASE("after an unanswered order a snapshot is required before the next order") {
    fixture with;
    with.demand("g1", {waits_for("m/a1")}, 0);
    const auto order = with.manager.next_order(at_ms(0));
    REQUIRE(order.has_value());
    CHECK_FALSE(with.manager.next_order(at_ms(1)).has_value());
    with.manager.on_order_result(*order, order_result::unanswered, at_ms(400));
    CHECK_FALSE(with.manager.next_order(at_ms(1'500)).has_value());
    with.poll(1'500);
    CHECK(with.manager.next_order(at_ms(1'500)).has_value());
}

TEST_CASE("a snapshot that was requested before an order's result is ignored") {
    fixture with;
    with.demand("g1", {waits_for("m/a1")}, 0);
    const auto before = with.manager.order_result_count();
    const auto old = with.engine.snapshot();
    const auto order = with.manager.next_order(at_ms(0));
    with.manager.on_order_result(*order, with.engine.execute(*order), at_ms(1));
    with.manager.on_snapshot(old, before, at_ms(2));
    CHECK(with.manager.needs_snapshot());
}

TEST_CASE("an engine is never ordered to hold more adapters than it has slots for") {
    rc::prop("demands, lost orders executed late, finished loads and restarts in any order", [] {
        fixture with;
        std::vector<engine_order> late;
        const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 6));
        std::int64_t now = 0;
        for (const int step : steps) {
            now += 250;
            if (step == 0) {
                with.engine.finish_loads();
            } else if (step == 1 && !late.empty()) {
                with.engine.execute(late.back());
                late.pop_back();
            } else if (step == 2) {
                with.engine.restart();
            } else {
                const auto name = "m/a" + std::to_string(*rc::gen::inRange(0, 8));
                with.demand("g" + std::to_string(step), {waits_for(name)}, now);
            }
            with.poll(now);
            if (const auto order = with.manager.next_order(at_ms(now))) {
                const bool is_lost = *rc::gen::inRange(0, 3) == 0;
                if (is_lost) {
                    late.push_back(*order);
                }
                const auto result =
                    is_lost ? order_result::unanswered : with.engine.execute(*order);
                with.manager.on_order_result(*order, result, at_ms(now));
            }
            RC_ASSERT(with.engine.max_held <= slots);
        }
    });
}

TEST_CASE("the time of a load from the weight store is measured, that of a warm load is not") {
    fixture with;
    with.demand("g1", {waits_for("m/a1")}, 100);
    REQUIRE(loads_of(with.run_orders(100)).size() == 1);
    with.poll(200);
    CHECK(with.manager.state(at_ms(600)).cold_loads == 0);
    with.engine.finish_loads();
    with.poll(410);
    CHECK(with.manager.state(at_ms(600)).cold_loads == 1);
    CHECK(with.manager.state(at_ms(600)).last_cold_load == duration{310});
    with.engine.resident.clear();
    with.poll(500);
    REQUIRE(loads_of(with.run_orders(500)).size() == 1);
    with.engine.finish_loads();
    with.poll(525);
    CHECK(with.manager.state(at_ms(600)).cold_loads == 1);
}

TEST_CASE("load: while the weight store is busy, an engine loads one adapter at a time from it") {
    fixture with;
    with.load_one(250);
    with.demand("g1", {waits_for("m/a1"), waits_for("m/a2"), waits_for("m/a3")}, 300);
    CHECK(loads_of(with.run_orders(300)).size() == 2);
    with.engine.finish_loads();
    with.poll(1'300); // slow, because many engines load at the same time
    CHECK(loads_of(with.run_orders(1'300)).size() == 1);
    with.engine.finish_loads();
    with.poll(1'560);
    with.demand("g1", {waits_for("m/a4"), waits_for("m/a5"), waits_for("m/a6")}, 1'600);
    CHECK(loads_of(with.run_orders(1'600)).size() == 2); // the load time is normal again
}

TEST_CASE("load: adapters in the engine's own memory do not wait for loads from the weight store") {
    fixture with;
    with.load_one(250);
    with.demand("g1", {waits_for("m/a0")}, 300);
    REQUIRE(with.run_orders(300).size() == 1);
    with.engine.finish_loads();
    with.poll(1'300); // a slow load: the weight store is busy
    with.demand("g1", {waits_for("m/a1"), waits_for("m/a2"), waits_for("m/first")}, 1'400);
    CHECK(loads_of(with.run_orders(1'400)) == std::vector<std::string>{"m/a1", "m/first"});
}

TEST_CASE("an engine without its base model reports when it will have it") {
    fixture with;
    with.engine.restart();
    with.poll(1'000);
    with.demand("g1", {waits_for("m/a1")}, 1'000);
    REQUIRE(loads_of({*with.manager.next_order(at_ms(1'000))}) == std::vector<std::string>{"m"});
    with.manager.on_order_result({order_kind::load, {"m", 0}, 0, 2}, order_result::accepted,
                                 at_ms(1'000));
    with.poll(1'010);
    const auto time_left = [&](std::int64_t ms) {
        return with.manager.state(at_ms(ms)).pending_model->time_left;
    };
    CHECK(time_left(1'100) == duration{400}); // half of the declared time, from a copy on disk
    CHECK(time_left(1'600) == duration{400}); // the full time, from the weight store
    CHECK(time_left(1'950) == duration{100});
    CHECK(time_left(2'500) == duration{500}); // 500 ms overdue: as long again
    with.engine.has_model = true;
    with.poll(2'600);
    CHECK_FALSE(with.manager.state(at_ms(2'600)).pending_model);
}

TEST_CASE("load: an empty engine first loads adapters whose requests can still be in time") {
    fixture with;
    with.load_one(250);
    const auto want = [](const std::string& name, std::int64_t oldest, std::int64_t to_objective) {
        return wanted_adapter{{name, 0}, 1, 0, duration{oldest}, 5, duration{to_objective}};
    };
    with.demand("g1",
                {want("m/late", 2'000, 100), want("m/rare", 300, 500), want("m/shared", 900, 0)},
                1'000);
    with.demand("g2", {want("m/shared", 400, 600), want("m/later", 3'000, 0)}, 1'000);
    // One request for m/shared can still be in time; the oldest one has waited longest.
    CHECK(loads_of(with.run_orders(1'000)) == std::vector<std::string>{"m/shared", "m/rare"});
    with.engine.finish_loads();
    with.demand("g1", {want("m/late", 2'250, 0)}, 1'250);
    with.demand("g2", {want("m/later", 3'250, 0)}, 1'250);
    with.engine.resident.clear();
    with.poll(1'250);
    CHECK(loads_of(with.run_orders(1'250)) == std::vector<std::string>{"m/later", "m/late"});
}

TEST_CASE("load: whether a load can be in time depends on the time of the order") {
    fixture with;
    with.load_one(250);
    const wanted_adapter soon{{"m/soon", 0}, 1, 0, duration{100}, 5, duration{400}};
    const wanted_adapter late{{"m/late", 0}, 1, 0, duration{900}, 5, duration{0}};
    with.demand("g1", {soon, late}, 1'000);
    // 300 ms are left, a load takes 250 ms.
    const auto first = with.manager.next_order(at_ms(1'100));
    REQUIRE(first);
    CHECK(first->weights.name == "m/soon");
    fixture other;
    other.load_one(250);
    other.demand("g1", {soon, late}, 1'000);
    const auto second = other.manager.next_order(at_ms(1'200));
    REQUIRE(second);
    CHECK(second->weights.name == "m/late");
}

TEST_CASE("load: an unanswered order does not delay the next one beyond the next snapshot") {
    fixture with;
    with.demand("g1", {waits_for("m/a1")}, 100);
    const auto order = with.manager.next_order(at_ms(100));
    REQUIRE(order);
    with.manager.on_order_result(*order, order_result::unanswered, at_ms(220));
    CHECK_FALSE(with.manager.next_order(at_ms(220))); // a snapshot is needed first
    with.poll(225);
    const auto again = with.manager.next_order(at_ms(225));
    REQUIRE(again);
    CHECK(*again == *order);
    // The lost order arrives after the second one, and the engine refuses it.
    CHECK(with.engine.execute(*again) == order_result::accepted);
    CHECK(with.engine.execute(*order) == order_result::refused);
}
