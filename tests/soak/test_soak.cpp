// Runs the real programs as separate processes under random faults.
#include "soak_run.h"

#include <catch2/catch.hpp>

#include <string>

using namespace camphorgrade;
using namespace camphorgrade::soak;

namespace {

void check_seed(std::uint64_t seed) {
    soak_options options;
    options.seed = seed;
    const auto result = run_soak(options);
    std::string faults;
    for (const auto& each : result.faults) {
        faults += each + '\n';
    }
    INFO("seed " << seed << ", logs in " << result.log_folder << ", longest stall "
                 << result.longest_stall.count() << " ms\n"
                 << faults);
    for (const auto& each : result.violations) {
        UNSCOPED_INFO(each);
    }
    CHECK(result.violations.empty());
    CHECK(result.complete > 0);
}

} // namespace

TEST_CASE("real processes keep their invariants under random faults") {
    constexpr std::uint64_t seeds = 2;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        check_seed(seed);
    }
}
