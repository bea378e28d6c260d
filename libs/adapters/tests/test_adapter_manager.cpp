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

constexpr std::uint32_t places = 3;

engine_demand demand_of(std::vector<wanted_adapter> wants) {
    engine_demand out;
    out.backend_id = "e1";
    out.adapters = std::move(wants);
    out.shape.adapter_slots = places;
    out.shape.weights_capacity_mb = 1'000;
    out.shape.models = {{"m", 900, 1, duration{1'000}}};
    return out;
}

wanted_adapter waits_for(const std::string& name, std::uint32_t urgency = 5, std::int64_t since = 0,
                         std::uint64_t version = 0) {
    return {{name, version}, 1, 0, duration{since}, urgency};
}

wanted_adapter uses(const std::string& name) {
    return {{name, 0}, 0, 1, {}, 5};
}

/** An engine as the published protocol describes it: loads take time, a sequence counts orders. */
class fake_engine {
public:
    engine_snapshot snapshot() const {
        engine_snapshot out;
        out.started_at_ms = born;
        out.order_sequence = sequence;
        if (has_model) {
            out.models = {{"m", 1}};
        }
        out.adapters.assign(resident.begin(), resident.end());
        out.loading.assign(loading.begin(), loading.end());
        return out;
    }

    order_result take(const engine_order& order) {
        if (order.expected_sequence != sequence || order.fencing_token < highest_fence) {
            return order_result::refused;
        }
        highest_fence = order.fencing_token;
        ++sequence;
        if (order.kind == order_kind::unload) {
            std::erase_if(resident,
                          [&](const auto& each) { return each.name == order.weights.name; });
        } else if (order.weights.name == "m") {
            has_model = true;
        } else if (is_resident(order.weights.name)) {
            // A replacement waits for the runs on the old version, and isn't listed meanwhile.
            replacing.insert(
                {order.weights.name, std::max<std::uint64_t>(order.weights.version, 1)});
        } else {
            loading.insert({order.weights.name, std::max<std::uint64_t>(order.weights.version, 1)});
        }
        most_held = std::max(most_held, held());
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
        highest_fence = 0;
        ++born;
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

    std::uint64_t born = 1;
    std::uint64_t sequence = 0;
    std::uint64_t highest_fence = 0;
    bool has_model = true;
    std::set<serving::versioned_weights> resident;
    std::set<serving::versioned_weights> loading;
    std::set<serving::versioned_weights> replacing;
    std::size_t most_held = 0;
};

/** A keeper that has seen its engine, and the engine. */
struct fixture {
    fixture() : keeper({}) { see(0); }

    void see(std::int64_t ms) {
        keeper.on_snapshot(engine.snapshot(), keeper.order_result_count(), at_ms(ms));
    }

    void want(const std::string& gateway, std::vector<wanted_adapter> wants, std::int64_t ms) {
        keeper.on_demand(gateway, demand_of(std::move(wants)), at_ms(ms));
    }

    /** Carries out orders until none is due. */
    std::vector<engine_order> settle(std::int64_t ms) {
        std::vector<engine_order> given;
        while (const auto order = keeper.next_order(at_ms(ms))) {
            given.push_back(*order);
            keeper.on_order_result(*order, engine.take(*order), at_ms(ms));
            see(ms);
        }
        return given;
    }

    /** Loads an adapter from the weight store in that time, and drops it again. */
    void load_one(std::int64_t took) {
        want("g0", {waits_for("m/first")}, 0);
        settle(0);
        engine.finish_loads();
        see(took);
        want("g0", {}, took);
        engine.resident.clear();
        see(took);
    }

    fake_engine engine;
    adapter_manager keeper;
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

TEST_CASE("adapters are loaded by urgency, then by waiting time, a few at once") {
    fixture with;
    with.load_one(250);
    with.want("g1", {waits_for("m/a1", 5, 100), waits_for("m/a2", 5, 300), waits_for("m/a3", 1, 0)},
              400);
    CHECK(loads_of(with.settle(400)) == std::vector<std::string>{"m/a3", "m/a2"});
    with.engine.finish_loads();
    with.see(700);
    CHECK(loads_of(with.settle(700)) == std::vector<std::string>{"m/a1"});
}

TEST_CASE("the least recently used adapter that nobody wants makes room") {
    fixture with;
    with.engine.resident = {{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}};
    with.see(0);
    with.want("g1", {uses("m/a1"), uses("m/a2")}, 0);
    with.want("g1", {uses("m/a2")}, 100);
    with.want("g2", {uses("m/a3")}, 150);
    with.want("g1", {uses("m/a2"), waits_for("m/a9")}, 200);
    const auto orders = with.settle(200);
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].kind == order_kind::unload);
    CHECK(orders[0].weights.name == "m/a1");
    CHECK(orders[1].weights.name == "m/a9");
}

TEST_CASE(
    "load: adapters that are asked for once don't push out one that is used again and again") {
    fixture with;
    constexpr std::int64_t end = 30'000;
    constexpr std::int64_t use = 200;
    constexpr std::int64_t popular_every = 2'000;
    constexpr std::int64_t others_every = 500;
    int popular_loads = 0;
    for (std::int64_t ms = 0; ms < end; ms += 100) {
        with.engine.finish_loads();
        with.see(ms);
        std::vector<wanted_adapter> wants;
        if (ms % popular_every < use) {
            const bool is_there = with.engine.is_resident("m/popular");
            wants.push_back(is_there ? uses("m/popular") : waits_for("m/popular"));
        }
        if (ms % others_every < use) {
            const auto name = "m/once" + std::to_string(ms / others_every);
            wants.push_back(with.engine.is_resident(name) ? uses(name) : waits_for(name));
        }
        with.want("g1", std::move(wants), ms);
        for (const auto& loaded : loads_of(with.settle(ms))) {
            popular_loads += loaded == "m/popular" ? 1 : 0;
        }
    }
    CHECK(popular_loads <= 3);
}

TEST_CASE("an adapter that was popular once makes room when nobody asks for it any more") {
    fixture with;
    with.engine.resident = {{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}};
    with.see(0);
    for (std::int64_t ms = 0; ms < 10'000; ms += 200) {
        with.want("g1", ms % 400 == 0 ? std::vector{uses("m/a1")} : std::vector<wanted_adapter>{},
                  ms);
    }
    with.want("g1", {uses("m/a2"), uses("m/a3")}, 25'000);
    with.want("g1", {waits_for("m/a9")}, 25'100);
    const auto orders = with.settle(25'100);
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].weights.name == "m/a1");
}

TEST_CASE("an adapter that a request uses or waits for isn't evicted") {
    fixture with;
    with.engine.resident = {{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}};
    with.see(0);
    with.want("g1", {uses("m/a1"), uses("m/a2")}, 0);
    with.want("g2", {waits_for("m/a3"), waits_for("m/a9")}, 0);
    CHECK(with.settle(0).empty());
    CHECK(with.keeper.state(at_ms(600)).available_adapter_slots == 0);
    CHECK(with.keeper.state(at_ms(600)).unplaced == 1);
}

TEST_CASE("what a silent gateway wanted stops counting") {
    fixture with;
    with.engine.resident = {{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}};
    with.see(0);
    with.want("g1", {uses("m/a1"), uses("m/a2"), uses("m/a3")}, 0);
    with.want("g2", {waits_for("m/a9")}, 2'500);
    CHECK(loads_of(with.settle(2'500)) == std::vector<std::string>{"m/a9"});
}

TEST_CASE("a newer version replaces an older one in its place") {
    fixture with;
    with.engine.resident = {{"m/a1", 1}, {"m/a2", 1}, {"m/a3", 1}};
    with.see(0);
    with.want("g1", {waits_for("m/a1", 5, 0, 2)}, 0);
    const auto orders = with.settle(0);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].weights == serving::versioned_weights{"m/a1", 2});
}

TEST_CASE("a replacement that waits for runs doesn't hold up other loads") {
    fixture with;
    with.engine.resident = {{"m/a1", 1}, {"m/a2", 1}};
    with.see(0);
    with.want("g1", {waits_for("m/a1", 1, 900, 2), waits_for("m/a9", 5)}, 0);
    CHECK(loads_of(with.settle(0)) == std::vector<std::string>{"m/a1", "m/a9"});
}

TEST_CASE("an engine that came back empty gets its base model first") {
    fixture with;
    with.engine.restart();
    with.see(0);
    with.want("g1", {waits_for("m/a1")}, 0);
    const auto orders = with.settle(0);
    REQUIRE(orders.size() == 2);
    CHECK(orders[0].weights.name == "m");
    CHECK(orders[0].fencing_token == with.engine.born);
    CHECK(orders[1].weights.name == "m/a1");
}

TEST_CASE("a demand for an earlier process of the engine neither counts nor names it") {
    fixture with;
    with.engine.restart();
    with.see(0);
    auto old = demand_of({waits_for("m/a1")});
    old.backend_started_at_ms = with.engine.born - 1;
    CHECK(with.keeper.on_demand("g1", old, at_ms(0)) == demand_result::for_earlier_process);
    CHECK(with.keeper.backend_id().empty());
    CHECK_FALSE(with.keeper.next_order(at_ms(0)).has_value());
    auto current = demand_of({});
    current.backend_id = "e2";
    current.backend_started_at_ms = with.engine.born;
    CHECK(with.keeper.on_demand("g1", current, at_ms(1)) == demand_result::accepted);
    CHECK(with.keeper.on_demand("g1", old, at_ms(2)) == demand_result::for_earlier_process);
    auto next = current;
    next.backend_started_at_ms = with.engine.born + 1;
    CHECK(with.keeper.on_demand("g1", next, at_ms(2)) == demand_result::for_later_process);
    CHECK(with.keeper.backend_id() == "e2");
    CHECK(with.settle(2).size() == 1);
}

TEST_CASE("after an order without an answer the engine is looked at before the next") {
    fixture with;
    with.want("g1", {waits_for("m/a1")}, 0);
    const auto order = with.keeper.next_order(at_ms(0));
    REQUIRE(order.has_value());
    CHECK_FALSE(with.keeper.next_order(at_ms(1)).has_value());
    with.keeper.on_order_result(*order, order_result::unanswered, at_ms(400));
    CHECK_FALSE(with.keeper.next_order(at_ms(1'500)).has_value());
    with.see(1'500);
    CHECK(with.keeper.next_order(at_ms(1'500)).has_value());
}

TEST_CASE("a report asked for before an order's result doesn't count") {
    fixture with;
    with.want("g1", {waits_for("m/a1")}, 0);
    const auto before = with.keeper.order_result_count();
    const auto old = with.engine.snapshot();
    const auto order = with.keeper.next_order(at_ms(0));
    with.keeper.on_order_result(*order, with.engine.take(*order), at_ms(1));
    with.keeper.on_snapshot(old, before, at_ms(2));
    CHECK(with.keeper.needs_snapshot());
}

TEST_CASE("an engine is never ordered to hold more than it has places for") {
    rc::prop(
        "demands, lost answers carried out late, finished loads and restarts in any order", [] {
            fixture with;
            std::vector<engine_order> late;
            const auto steps = *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 6));
            std::int64_t now = 0;
            for (const int step : steps) {
                now += 250;
                if (step == 0) {
                    with.engine.finish_loads();
                } else if (step == 1 && !late.empty()) {
                    with.engine.take(late.back());
                    late.pop_back();
                } else if (step == 2) {
                    with.engine.restart();
                } else {
                    const auto name = "m/a" + std::to_string(*rc::gen::inRange(0, 8));
                    with.want("g" + std::to_string(step), {waits_for(name)}, now);
                }
                with.see(now);
                if (const auto order = with.keeper.next_order(at_ms(now))) {
                    const bool is_lost = *rc::gen::inRange(0, 3) == 0;
                    if (is_lost) {
                        late.push_back(*order);
                    }
                    const auto result =
                        is_lost ? order_result::unanswered : with.engine.take(*order);
                    with.keeper.on_order_result(*order, result, at_ms(now));
                }
                RC_ASSERT(with.engine.most_held <= places);
            }
        });
}

TEST_CASE("the time of a load from the weight store is measured, that of a warm one isn't") {
    fixture with;
    with.want("g1", {waits_for("m/a1")}, 100);
    REQUIRE(loads_of(with.settle(100)).size() == 1);
    with.see(200);
    CHECK(with.keeper.state(at_ms(600)).cold_loads == 0);
    with.engine.finish_loads();
    with.see(410);
    CHECK(with.keeper.state(at_ms(600)).cold_loads == 1);
    CHECK(with.keeper.state(at_ms(600)).last_cold_load == duration{310});
    with.engine.resident.clear();
    with.see(500);
    REQUIRE(loads_of(with.settle(500)).size() == 1);
    with.engine.finish_loads();
    with.see(525);
    CHECK(with.keeper.state(at_ms(600)).cold_loads == 1);
}

TEST_CASE("load: while the weight store is busy, an engine loads one adapter at a time from it") {
    fixture with;
    with.load_one(250);
    with.want("g1", {waits_for("m/a1"), waits_for("m/a2"), waits_for("m/a3")}, 300);
    CHECK(loads_of(with.settle(300)).size() == 2);
    with.engine.finish_loads();
    with.see(1'300); // many engines load at once
    CHECK(loads_of(with.settle(1'300)).size() == 1);
    with.engine.finish_loads();
    with.see(1'560);
    with.want("g1", {waits_for("m/a4"), waits_for("m/a5"), waits_for("m/a6")}, 1'600);
    CHECK(loads_of(with.settle(1'600)).size() == 2); // it is as quick as usual again
}

TEST_CASE("load: adapters in the engine's own memory don't wait for those from the weight store") {
    fixture with;
    with.load_one(250);
    with.want("g1", {waits_for("m/a0")}, 300);
    REQUIRE(with.settle(300).size() == 1);
    with.engine.finish_loads();
    with.see(1'300); // the weight store is busy
    with.want("g1", {waits_for("m/a1"), waits_for("m/a2"), waits_for("m/first")}, 1'400);
    CHECK(loads_of(with.settle(1'400)) == std::vector<std::string>{"m/a1", "m/first"});
}

TEST_CASE("an engine without its base model tells when it will have it") {
    fixture with;
    with.engine.restart();
    with.see(1'000);
    with.want("g1", {waits_for("m/a1")}, 1'000);
    REQUIRE(loads_of({*with.keeper.next_order(at_ms(1'000))}) == std::vector<std::string>{"m"});
    with.keeper.on_order_result({order_kind::load, {"m", 0}, 0, 2}, order_result::accepted,
                                at_ms(1'000));
    with.see(1'010);
    const auto left = [&](std::int64_t ms) {
        return with.keeper.state(at_ms(ms)).pending_model->time_left;
    };
    CHECK(left(1'100) == duration{400}); // half of the declared time, from a copy on its disk
    CHECK(left(1'600) == duration{400}); // else all of it, from the weight store
    CHECK(left(1'950) == duration{100});
    CHECK(left(2'500) == duration{500}); // overdue: as long again
    with.engine.has_model = true;
    with.see(2'600);
    CHECK_FALSE(with.keeper.state(at_ms(2'600)).pending_model);
}

TEST_CASE("load: an empty engine loads first what can still be in time") {
    fixture with;
    with.load_one(250);
    const auto want = [](const std::string& name, std::int64_t oldest, std::int64_t to_objective) {
        return wanted_adapter{{name, 0}, 1, 0, duration{oldest}, 5, duration{to_objective}};
    };
    with.want("g1",
              {want("m/late", 2'000, 100), want("m/rare", 300, 500), want("m/shared", 900, 0)},
              1'000);
    with.want("g2", {want("m/shared", 400, 600), want("m/later", 3'000, 0)}, 1'000);
    // Somebody who waits for m/shared can be in time; its first caller has waited longest.
    CHECK(loads_of(with.settle(1'000)) == std::vector<std::string>{"m/shared", "m/rare"});
    with.engine.finish_loads();
    with.want("g1", {want("m/late", 2'250, 0)}, 1'250);
    with.want("g2", {want("m/later", 3'250, 0)}, 1'250);
    with.engine.resident.clear();
    with.see(1'250);
    CHECK(loads_of(with.settle(1'250)) == std::vector<std::string>{"m/later", "m/late"});
}

TEST_CASE("load: what can be in time at one moment is late at another") {
    fixture with;
    with.load_one(250);
    const wanted_adapter soon{{"m/soon", 0}, 1, 0, duration{100}, 5, duration{400}};
    const wanted_adapter late{{"m/late", 0}, 1, 0, duration{900}, 5, duration{0}};
    with.want("g1", {soon, late}, 1'000);
    const auto first = with.keeper.next_order(at_ms(1'100)); // 300 ms are left, a load takes 250
    REQUIRE(first);
    CHECK(first->weights.name == "m/soon");
    fixture other;
    other.load_one(250);
    other.want("g1", {soon, late}, 1'000);
    const auto second = other.keeper.next_order(at_ms(1'200));
    REQUIRE(second);
    CHECK(second->weights.name == "m/late");
}

TEST_CASE("load: an order that is left unanswered holds up the next one no longer") {
    fixture with;
    with.want("g1", {waits_for("m/a1")}, 100);
    const auto order = with.keeper.next_order(at_ms(100));
    REQUIRE(order);
    with.keeper.on_order_result(*order, order_result::unanswered, at_ms(220));
    CHECK_FALSE(with.keeper.next_order(at_ms(220))); // the engine is looked at first
    with.see(225);
    const auto again = with.keeper.next_order(at_ms(225));
    REQUIRE(again);
    CHECK(*again == *order);
    // The lost one arrives after all, behind the second: the engine refuses it.
    CHECK(with.engine.take(*again) == order_result::accepted);
    CHECK(with.engine.take(*order) == order_result::refused);
}
