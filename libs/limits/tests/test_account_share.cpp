#include "window_bound.h"

#include <limits/account_share.h>
#include <limits/gift_policy.h>

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <map>

using namespace camphorgrade;
using namespace camphorgrade::limits;

namespace {

time_point at(std::int64_t ms) {
    return time_point{duration{ms}};
}

micro_tokens tokens(std::int64_t count) {
    return count * micro_tokens_per_token;
}

struct charged {
    time_point at;
    micro_tokens net = 0;
};

} // namespace

TEST_CASE("a credit comes back only as far as the bucket had room since the admission") {
    account_share held;
    held.set_limit({"a", 10, 100}, at(0));
    held.receive({whole, whole, 0}, at(0));
    const auto first = held.charge(tokens(100), at(10'000));
    REQUIRE(first);
    const auto second = held.charge(tokens(50), at(15'000));
    REQUIRE(second);
    // Not charged at all, the first would have left the bucket full: 50 went by since.
    CHECK(held.credit(*first, tokens(100), at(16'000)) == tokens(50));
    CHECK(held.level(at(16'000)) == tokens(60));
}

TEST_CASE("credits never break the window bound") {
    rc::prop("for any order of charges, credits and gifts", [] {
        account_share held;
        held.set_limit({"a", 20, 200}, at(0));
        held.receive({whole, whole, 0}, at(0));
        std::vector<charged> all;
        std::map<std::uint64_t, std::pair<std::size_t, micro_tokens>> open;
        std::int64_t now = 10'000;
        const auto steps =
            *rc::gen::resize(rc::kNominalSize, rc::gen::container<std::vector<std::uint16_t>>(
                                                   200, rc::gen::arbitrary<std::uint16_t>()));
        for (const std::uint16_t each : steps) {
            now += each % 7 == 0 ? 11'000 : each % 900;
            if (each % 3 != 0) {
                const micro_tokens cost = tokens(each % 150);
                if (const auto id = held.charge(cost, at(now))) {
                    open[*id] = {all.size(), cost};
                    all.push_back({at(now), cost});
                }
            } else if (!open.empty()) {
                auto chosen = std::next(open.begin(), each % open.size());
                const auto [index, cost] = chosen->second;
                all[index].net -= held.credit(chosen->first, cost / 10 * (each % 11), at(now));
                open.erase(chosen);
            }
        }
        RC_ASSERT(test::within_every_window(all, {{at(0), 20, 200, 0}}));
    });
}

TEST_CASE("a gift is always held, and its tokens fit into its burst") {
    rc::prop("for any state and request", [] {
        account_share held;
        held.set_limit({"a", *rc::gen::inRange(0, 1'000), *rc::gen::inRange(0, 1'000)}, at(0));
        held.receive(
            {*rc::gen::inRange<parts>(0, whole + 1), *rc::gen::inRange<parts>(0, whole + 1), 0},
            at(0));
        const share_request request{*rc::gen::inRange<micro_tokens>(0, tokens(2'000)),
                                    *rc::gen::inRange<std::int64_t>(0, tokens(100)),
                                    whole - held.rate_parts(), whole - held.burst_parts()};
        const giver_state giver{*rc::gen::inRange<std::int64_t>(0, tokens(100)),
                                *rc::gen::inRange<micro_tokens>(0, tokens(100))};
        const time_point now = at(*rc::gen::inRange(0, 100'000));
        const micro_tokens before = held.level(now);
        const share gift = choose_gift(held, giver, request, now);
        held.give(gift, now); // throws when it is not held or does not fit
        RC_ASSERT(gift.level <= request.tokens);
        RC_ASSERT(held.level(now) <= before - gift.level);
    });
}
