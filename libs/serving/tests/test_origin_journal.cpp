#include <serving/origin_journal.h>

#include <catch2/catch.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::serving;

namespace {

const stream_origin origin{"engines", "v1"};

std::vector<origin_record> records(stream_key first, std::size_t count) {
    std::vector<origin_record> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back({first + i, origin, duration{0}});
    }
    return out;
}

/** A journal and the time. */
struct fixture {
    std::optional<journal_call> next(duration after = duration{0}) {
        now += after;
        return journal.next_call(now);
    }
    void open_lease() {
        const auto call = next();
        REQUIRE(call.has_value());
        REQUIRE(call->what == journal_call::kind::open_lease);
        journal.on_lease(9, now);
    }
    void end_write(write_outcome outcome, std::uint64_t revision = 0) {
        journal.on_written({outcome, revision, std::nullopt}, now);
    }

    origin_journal_settings settings;
    origin_journal journal{settings};
    time_point now{duration{100'000}};
};

} // namespace

TEST_CASE("a journal makes no call while no origin has to be known to others") {
    fixture setup;
    CHECK_FALSE(setup.next().has_value());
    CHECK_FALSE(setup.next(duration{120'000}).has_value());
}

TEST_CASE("a record grows, on the condition that it is as it was written, then the next begins") {
    fixture setup;
    setup.journal.add(records(1, 2));
    setup.open_lease();
    const auto first = setup.next();
    REQUIRE(first.has_value());
    CHECK(first->lease == 9);
    CHECK(first->expected_revision == 0);
    CHECK(first->streams == origin_chunk{{origin, {1, 2}}});
    CHECK_FALSE(setup.next().has_value()); // one call at a time
    setup.end_write(write_outcome::done, 40);
    setup.journal.add(records(3, 1));
    CHECK_FALSE(setup.next(duration{100}).has_value());
    const auto second = setup.next(setup.settings.write_interval);
    REQUIRE(second.has_value());
    CHECK(second->chunk == first->chunk);
    CHECK(second->expected_revision == 40);
    CHECK(second->streams == origin_chunk{{origin, {1, 2, 3}}});
    setup.end_write(write_outcome::done, 41);
    setup.journal.add(records(4, 1));
    const auto third = setup.next(setup.settings.chunk_time);
    REQUIRE(third.has_value());
    CHECK(third->chunk != first->chunk);
    CHECK(third->expected_revision == 0);
    CHECK(third->streams == origin_chunk{{origin, {4}}});
}

// Guards against a write that takes effect late and undoes a later one of the same record.
TEST_CASE("after a write whose end isn't known, its streams go into another record") {
    fixture setup;
    setup.journal.add(records(1, 1));
    setup.open_lease();
    const auto first = setup.next();
    setup.end_write(GENERATE(write_outcome::unknown, write_outcome::conflict));
    setup.journal.add(records(2, 1));
    const auto second = setup.next(setup.settings.max_retry_delay);
    REQUIRE(second.has_value());
    CHECK(second->chunk != first->chunk);
    CHECK(second->expected_revision == 0);
    CHECK(second->streams == origin_chunk{{origin, {1, 2}}});
}

TEST_CASE("what the store refused is written again, with a new lease if that was over") {
    fixture setup;
    setup.journal.add(records(1, 1));
    setup.open_lease();
    REQUIRE(setup.next().has_value());
    setup.end_write(write_outcome::refused);
    CHECK_FALSE(setup.next().has_value());
    const auto second = setup.next(setup.settings.max_retry_delay);
    REQUIRE(second.has_value());
    CHECK(second->streams == origin_chunk{{origin, {1}}});
    setup.end_write(write_outcome::lease_over);
    setup.now += setup.settings.max_retry_delay;
    setup.open_lease();
    CHECK(setup.next()->streams == origin_chunk{{origin, {1}}});
}

TEST_CASE("leases are renewed before the streams of their records can end") {
    fixture setup;
    setup.journal.add(records(1, 1));
    setup.open_lease();
    REQUIRE(setup.next().has_value());
    setup.end_write(write_outcome::done, 40);
    setup.journal.add(records(2, 1));
    setup.now += setup.settings.lease_interval;
    setup.open_lease();
    CHECK(setup.journal.lease_time() >= setup.settings.lease_interval * 2);
}

TEST_CASE("a store that takes no records costs a bounded amount of memory and of calls") {
    fixture setup;
    std::size_t calls = 0;
    for (int i = 0; i < 1'000; ++i) {
        setup.journal.add(records(static_cast<stream_key>(i) * 100, 100));
        if (setup.next(duration{50})) {
            ++calls;
            setup.journal.on_lease(std::nullopt, setup.now);
        }
    }
    CHECK(calls <= 1'000 * 50 / 200);
    setup.now += setup.settings.max_retry_delay;
    setup.open_lease();
    std::size_t streams = 0;
    for (auto call = setup.next(); call; call = setup.next(setup.settings.chunk_time)) {
        streams += call->streams.at(origin).size();
        setup.end_write(write_outcome::done, 50);
    }
    CHECK(streams == setup.settings.max_pending);
}
