#include <peering/usage_change_filter.h>

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::peering;

TEST_CASE("a changed count is reported for a fixed period, and again only after its next change") {
    const auto at_ms = [](std::int64_t ms) { return time_point{duration{ms}}; };
    usage_change_filter filter(duration{800});
    serving::account_usage all{{"studio", {100, 0}}, {"hall", {0, 0}}};
    CHECK(filter.changed(all, at_ms(1'000)).count("studio") == 1);
    CHECK(filter.changed(all, at_ms(1'700)).count("studio") == 1);
    CHECK(filter.changed(all, at_ms(1'800)).empty());
    all["hall"].credited = 5;
    const auto changed = filter.changed(all, at_ms(2'000));
    REQUIRE(changed.size() == 1);
    CHECK(changed.at("hall").credited == 5);
}
