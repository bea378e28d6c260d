// Backend servers that repeat or omit an event of a stream.
#include "check_soak.h"

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::soak;

TEST_CASE("callers get no event twice if a server repeats it") {
    soak_options options;
    options.seed = 9'370;
    options.response_faults = {response_fault_kind::wrong_ids};
    check_soak(options);
}
