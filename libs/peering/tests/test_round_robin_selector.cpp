#include <peering/round_robin_selector.h>

#include <catch2/catch.hpp>

#include <set>

using camphorgrade::peering::round_robin_selector;

TEST_CASE("all addresses are named in turn, a few at a time") {
    std::vector<std::string> all;
    all.reserve(78);
    for (int i = 0; i < 78; ++i) {
        all.push_back("10.0.0." + std::to_string(i) + ":7600");
    }
    round_robin_selector names(8);
    std::set<std::string> seen;
    for (int message = 0; message < 10; ++message) {
        const auto named = names.next(all);
        CHECK(named.size() == 8);
        seen.insert(named.begin(), named.end());
    }
    CHECK(seen.size() == all.size());
}

TEST_CASE("few addresses are all named each time") {
    round_robin_selector names(8);
    const std::vector<std::string> all{"a", "b"};
    CHECK(names.next(all) == all);
    CHECK(names.next({}).empty());
    CHECK(names.next(all) == all);
}
