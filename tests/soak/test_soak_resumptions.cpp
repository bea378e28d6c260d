// Callers that take broken streams up again at any entry, beside servers of two software versions.
#include "check_soak.h"

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::soak;

// Guards against streams that callers continue with a missing, repeated, joined or foreign event,
// or at another software version, while entries restart and responses break.
TEST_CASE("streams that callers take up again go on after the last event, at their version") {
    soak_options options;
    options.seed = 9'960;
    options.callers = 48;
    options.sizes.entries = 4;
    options.sizes.engines = 4;
    options.has_resuming_callers = true;
    options.response_faults = {response_fault_kind::cut, response_fault_kind::fragmented,
                               response_fault_kind::unframed_cut};
    check_soak(options);
}
