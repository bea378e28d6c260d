#include <peering/usage_change_filter.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::peering;

TEST_CASE("a changed count is named for a while, and not again until it changes") {
    const auto at = [](std::int64_t ms) { return time_point{duration{ms}}; };
    usage_change_filter recent(duration{800});
    serving::account_usage all{{"studio", {100, 0}}, {"hall", {0, 0}}};
    CHECK(recent.changed(all, at(1'000)).count("studio") == 1);
    CHECK(recent.changed(all, at(1'700)).count("studio") == 1);
    CHECK(recent.changed(all, at(1'800)).empty());
    all["hall"].credited = 5;
    const auto changed = recent.changed(all, at(2'000));
    REQUIRE(changed.size() == 1);
    CHECK(changed.at("hall").credited == 5);
}
