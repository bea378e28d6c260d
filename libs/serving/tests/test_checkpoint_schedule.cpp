#include <serving/checkpoint_schedule.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::serving;

namespace {

constexpr time_point start{duration{100'000}};

checkpoint_state at(std::uint64_t revision, std::uint64_t record_revision, std::uint64_t era = 0) {
    return {{era, revision}, record_revision};
}

} // namespace

TEST_CASE("a checkpoint is due at once, and again when the newest one known is old") {
    const checkpoint_schedule_settings settings;
    checkpoint_schedule schedule(settings, 0.5);
    CHECK(schedule.is_due(start));
    CHECK(schedule.record_revision() == 0);
    schedule.on_checkpoint(at(40, 41), start);
    CHECK(schedule.record_revision() == 41);
    CHECK_FALSE(schedule.is_due(start + settings.interval));
    CHECK(schedule.is_due(start + settings.interval + settings.spread));
    // Another gateway has written one meanwhile.
    schedule.on_checkpoint(at(90, 91), start + settings.interval);
    CHECK_FALSE(schedule.is_due(start + settings.interval + settings.spread));
    schedule.on_checkpoint(at(40, 41), start + settings.interval * 2); // known
    CHECK(schedule.newest() == at(90, 91));
}

TEST_CASE("a conflict tells of a newer checkpoint, or what is to be replaced") {
    const checkpoint_schedule_settings settings;
    checkpoint_schedule schedule(settings, 0);
    schedule.on_conflict(at(40, 41), start);
    CHECK_FALSE(schedule.is_due(start + settings.min_retry_delay));
    CHECK(schedule.record_revision() == 41);
    schedule.on_conflict(at(30, 31), start); // the store is back from a copy
    CHECK(schedule.record_revision() == 31);
    CHECK(schedule.is_due(start + settings.min_retry_delay));
    schedule.on_conflict(std::nullopt, start);
    CHECK(schedule.record_revision() == 0);
}

TEST_CASE("a store that refuses is asked less and less often") {
    const checkpoint_schedule_settings settings;
    checkpoint_schedule schedule(settings, 0);
    for (int i = 0; i < 10; ++i) {
        schedule.on_write_failed(start);
    }
    CHECK_FALSE(schedule.is_due(start + settings.max_retry_delay - duration{1}));
    CHECK(schedule.is_due(start + settings.max_retry_delay));
}

TEST_CASE("when the store drops its changes, a new checkpoint is due soon") {
    const checkpoint_schedule_settings settings;
    checkpoint_schedule schedule(settings, 0.5);
    schedule.on_checkpoint(at(40, 41), start);
    schedule.on_history_lost(start + duration{100});
    CHECK_FALSE(schedule.is_due(start + duration{100}));
    CHECK(schedule.is_due(start + duration{100} + settings.spread));
}
