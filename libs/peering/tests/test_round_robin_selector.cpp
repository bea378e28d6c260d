#include <peering/round_robin_selector.h>

#include <catch2/catch.hpp>

#include <set>

using camphorgrade::peering::round_robin_selector;

TEST_CASE("the selector returns every address in turn, a bounded number at a time") {
    std::vector<std::string> all;
    all.reserve(78);
    for (int i = 0; i < 78; ++i) {
        all.push_back("10.0.0." + std::to_string(i) + ":7600");
    }
    round_robin_selector selector(8);
    std::set<std::string> all_selected;
    for (int call = 0; call < 10; ++call) {
        const auto selected = selector.next(all);
        CHECK(selected.size() == 8);
        all_selected.insert(selected.begin(), selected.end());
    }
    CHECK(all_selected.size() == all.size());
}

TEST_CASE("a list within the bound is returned whole each time") {
    round_robin_selector selector(8);
    const std::vector<std::string> all{"a", "b"};
    CHECK(selector.next(all) == all);
    CHECK(selector.next({}).empty());
    CHECK(selector.next(all) == all);
}
