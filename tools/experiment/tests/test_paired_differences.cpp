#include "paired_differences.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <sstream>

using namespace camphorgrade::experiment;

TEST_CASE("paired values are read, and a bad line is named") {
    std::istringstream good("worth day-1 0.5 0.6\n\nlate day-1 100 90\n");
    const auto read = read_paired(good);
    REQUIRE(std::holds_alternative<std::vector<paired_value>>(read));
    CHECK(std::get<std::vector<paired_value>>(read) ==
          std::vector<paired_value>{{"worth", "day-1", 0.5, 0.6}, {"late", "day-1", 100, 90}});
    for (const auto* bad :
         {"worth day-1 0.5 0.6\nworth day-1 0.5\n", "worth day-1 0.5 0.6\nworth day-1 half 0.5\n",
          "worth day-1 0.5 0.6\nworth day-1 0.5 0.6 0.7\n"}) {
        std::istringstream text(bad);
        const auto refused = read_paired(text);
        REQUIRE(std::holds_alternative<paired_fault>(refused));
        CHECK(std::get<paired_fault>(refused).line == 2);
    }
}

TEST_CASE("the interval is Student's, and says what is beyond noise") {
    const std::vector<paired_value> values{{"steady", "1", 1, 2},   {"steady", "2", 2, 3.1},
                                           {"steady", "3", 3, 3.9}, {"noisy", "1", 1, 3},
                                           {"noisy", "2", 3, 1},    {"noisy", "3", 2, 2.3},
                                           {"single", "1", 1, 2}};
    const auto found = paired_differences(values, 0.95);
    REQUIRE(found.size() == 2);
    CHECK(found[0].measure == "steady");
    CHECK(found[0].difference == Approx(1.0));
    // Differences 1, 1.1, 0.9: deviation 0.1, over three pairs, and t of two degrees is 4.303.
    CHECK(found[0].half_width == Approx(4.303 * 0.1 / std::sqrt(3.0)).epsilon(1e-3));
    CHECK(found[0].is_beyond_noise());
    CHECK_FALSE(found[1].is_beyond_noise());
}
