#include "fake_engine.h"

#include <placement/slot_table.h>

#include <kernel/check.h>

#include <catch2/catch.hpp>

#include <type_traits>

using namespace camphorgrade;
using namespace camphorgrade::placement;

namespace {

const adapter_ref a1{"a", "1"};
const adapter_ref a2{"a", "2"};
const adapter_ref b1{"b", "1"};
const fencing_number fence{3};

time_point at(std::int64_t ms) {
    return time_point{duration{ms}};
}

/** A table beside an engine that checks fencing numbers and is known to be empty. */
struct bench {
    explicit bench(std::size_t slots)
        : engine(slots, true),
          table({.slots = slots, .engine_checks_fencing = true}, fence, at(0)) {
        table.on_listing(engine.listing(fence, at(1)), at(1));
    }

    void load(const adapter_ref& adapter, std::int64_t ms) {
        table.on_result(engine.apply(table.load(adapter, at(ms))), at(ms));
    }

    fake_engine engine;
    slot_table table;
};

// The types themselves: no copies, no leave or pin made by hand, no eviction by anything else.
static_assert(!std::is_copy_constructible_v<pin> && std::is_move_constructible_v<pin>);
static_assert(!std::is_copy_constructible_v<evictable_slot>);
static_assert(!std::is_default_constructible_v<evictable_slot>);
static_assert(!std::is_constructible_v<evictable_slot, std::size_t, std::uint64_t>);
static_assert(!std::is_constructible_v<pin, const adapter_ref&, std::size_t&>);
template <typename Leave>
concept evicts = requires(slot_table& table, Leave leave, time_point now) {
    table.evict(leave, now);
};
static_assert(!evicts<evictable_slot&> && !evicts<std::size_t> && !evicts<adapter_ref>);

} // namespace

TEST_CASE("the version is part of an adapter's identity") {
    bench b(2);
    b.load(a1, 10);
    CHECK(b.table.resident(a1));
    CHECK_FALSE(b.table.resident(a2));
    CHECK(b.table.readiness(a2, at(11)) == load_readiness::ready);
}

TEST_CASE("a pinned adapter gives no leave to evict") {
    bench b(1);
    b.load(a1, 10);
    {
        const pin hold = b.table.hold(a1, at(20));
        CHECK_FALSE(b.table.evictable(a1).has_value());
    }
    CHECK(b.table.evictable(a1).has_value());
}

TEST_CASE("leave to evict is void once something was pinned") {
    bench b(1);
    b.load(a1, 10);
    auto leave = b.table.evictable(a1);
    const pin hold = b.table.hold(a1, at(20));
    CHECK_THROWS_AS(b.table.evict(std::move(*leave), at(20)), contract_violation);
    CHECK(b.table.resident(a1));
}

TEST_CASE("results of another order, boot or fencing number are ignored") {
    bench b(1);
    const slot_order order = b.table.load(a1, at(10));
    const order_result good{order.id, b.engine.boot(), fence, order_outcome::done};
    order_result other = good;
    other.id = order_id{99};
    CHECK(b.table.on_result(other, at(11)) == result_effect{result_ignored{}});
    other = good;
    other.boot = boot_id{99};
    CHECK(b.table.on_result(other, at(11)) == result_effect{result_ignored{}});
    other = good;
    other.fencing = fencing_number{2};
    CHECK(b.table.on_result(other, at(11)) == result_effect{result_ignored{}});
    CHECK(b.table.state_of(a1) == slot_state::loading);
    CHECK(b.table.on_result(good, at(12)) == result_effect{adapter_loaded{a1}});
    CHECK(b.table.on_result(good, at(13)) == result_effect{result_ignored{}});
}

TEST_CASE("an order without a result is settled by a listing asked for late enough") {
    bench b(1);
    const slot_order order = b.table.load(a1, at(10));
    b.table.on_result({order.id, b.engine.boot(), fence, order_outcome::unknown}, at(20));
    CHECK_FALSE(b.table.wants_listing(at(5009)));
    b.table.on_listing(b.engine.listing(fence, at(5009)), at(5009));
    CHECK(b.table.state_of(a1) == slot_state::loading);
    CHECK(b.table.wants_listing(at(5010)));
    SECTION("it took effect") {
        b.engine.apply(order);
        b.table.on_listing(b.engine.listing(fence, at(5011)), at(5012));
        CHECK(b.table.resident(a1));
    }
    SECTION("it did not") {
        b.table.on_listing(b.engine.listing(fence, at(5011)), at(5012));
        CHECK(b.table.readiness(a1, at(5012)) == load_readiness::ready);
    }
}

TEST_CASE("an engine that restarts is empty, and orders to its old life stay unsettled") {
    bench b(2);
    b.load(a1, 10);
    b.table.on_result({}, at(10));
    b.load(b1, 11);
    auto leave = b.table.evictable(b1);
    b.table.evict(std::move(*leave), at(100));
    b.engine.restart();
    b.table.on_boot(b.engine.boot(), at(200));
    CHECK(b.table.count(slot_state::empty) == 2);
    CHECK(b.table.readiness(a1, at(200)) == load_readiness::ready);
    CHECK(b.table.readiness(b1, at(200)) == load_readiness::unsettled);
    CHECK(b.table.readiness(b1, at(5100)) == load_readiness::ready);
}

TEST_CASE("a refused fencing number ends this agent's hold on the engine") {
    bench b(1);
    b.load(a1, 10);
    b.engine.listing(fencing_number{4}, at(20));
    b.table.on_result(b.engine.apply(b.table.evict(*b.table.evictable(a1), at(30))), at(31));
    CHECK(b.table.superseded());
    CHECK_FALSE(b.table.resident(a1));
    CHECK(b.table.readiness(b1, at(40)) == load_readiness::superseded);
}

TEST_CASE("beside an engine that ignores fencing numbers, an agent waits out its predecessor") {
    fake_engine engine(1, false);
    slot_table table({.slots = 1, .engine_checks_fencing = false}, fence, at(0));
    CHECK_FALSE(table.wants_listing(at(4999)));
    table.on_listing(engine.listing(fence, at(10)), at(10));
    CHECK(table.readiness(a1, at(20)) == load_readiness::engine_unknown);
    CHECK(table.wants_listing(at(5000)));
    table.on_listing(engine.listing(fence, at(5000)), at(5001));
    CHECK(table.readiness(a1, at(5001)) == load_readiness::ready);
}

TEST_CASE("what the engine holds already is adopted") {
    fake_engine engine(2, true);
    engine.apply({order_id{1}, order_kind::load, a1, engine.boot(), fencing_number{1}});
    slot_table table({.slots = 2, .engine_checks_fencing = true}, fence, at(0));
    table.on_listing(engine.listing(fence, at(1)), at(2));
    CHECK(table.resident(a1));
}

TEST_CASE("failed loads free the slot and back off, longer each time") {
    bench b(1);
    b.engine.fail_loads_of(a1);
    b.load(a1, 1000);
    CHECK(b.table.count(slot_state::empty) == 1);
    CHECK(b.table.readiness(a1, at(1499)) == load_readiness::backing_off);
    CHECK(b.table.readiness(b1, at(1499)) == load_readiness::ready);
    b.load(a1, 1500);
    CHECK(b.table.readiness(a1, at(2499)) == load_readiness::backing_off);
    CHECK(b.table.failure_of(a1)->failures == 2);
    CHECK(b.table.readiness(a1, at(2500)) == load_readiness::ready);
}
