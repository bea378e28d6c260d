// Requests whose prompts have a part that crashes each server that begins to respond to them.
#include "check_soak.h"

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::soak;

TEST_CASE("requests that crash servers are held back, and sound ones are not") {
    constexpr int engines = 8;
    soak_options options;
    options.seed = 9'500;
    options.fault_duration = duration{14'000};
    options.sizes.engines = engines;
    options.has_crashing_requests = true;
    check_soak(options);
}
