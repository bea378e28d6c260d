// Backend servers that write a response for the second time on a connection that is used again.
#include "check_soak.h"

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::soak;

TEST_CASE("callers get no byte of a response that a server writes again") {
    soak_options options;
    // The repetition came within the next response, which had no framing, and was taken for its
    // body.
    options.seed = 9'350;
    options.response_faults = {response_fault_kind::repeated};
    check_soak(options);
}
