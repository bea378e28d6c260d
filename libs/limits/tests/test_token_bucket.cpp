#include <limits/token_bucket.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace camphorgrade;
using namespace camphorgrade::limits;

namespace {

time_point at(std::int64_t ms) {
    return time_point{duration{ms}};
}

} // namespace

TEST_CASE("a bucket never drifts, however often it is looked at") {
    rc::prop("one long step equals many short ones", [](const std::vector<std::uint8_t>& steps) {
        token_bucket once(7, 10'000, at(0));
        token_bucket often = once;
        std::int64_t now = 0;
        for (const std::uint8_t each : steps) {
            now += each;
            often.add(0, at(now));
        }
        RC_ASSERT(once.level(at(now)) == often.level(at(now)));
    });
}

TEST_CASE("a bucket stops at its capacity and gives no more than it holds") {
    token_bucket bucket(10, 100, at(0));
    CHECK(bucket.level(at(5)) == 50);
    CHECK(bucket.level(at(1'000'000'000'000)) == 100);
    CHECK_FALSE(bucket.take(51, at(5)));
    CHECK(bucket.take(50, at(5)));
    CHECK(bucket.holds_at(45, at(5)) == at(10));
    CHECK(bucket.holds_at(101, at(5)) == time_point::max());
    bucket.set_limits(0, 20, at(100));
    CHECK(bucket.level(at(200)) == 20);
    CHECK(bucket.level(at(50)) == 20);
}
