#include "check_soak.h"

#include <catch2/catch.hpp>

#include <string>

namespace camphorgrade::soak {

void check_soak(const soak_options& options) {
    const auto result = run_soak(options);
    std::string faults;
    for (const auto& each : result.faults) {
        faults += each + '\n';
    }
    INFO("seed " << options.seed << ", logs in " << result.log_folder << ", longest stall "
                 << result.longest_stall.count() << " ms\n"
                 << result.crashes << '\n'
                 << faults);
    for (const auto& each : result.violations) {
        UNSCOPED_INFO(each);
    }
    CHECK(result.violations.empty());
    CHECK(result.complete > 0);
}

} // namespace camphorgrade::soak
