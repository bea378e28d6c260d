#pragma once

#include <kernel/micro_kernel.h>

namespace camphorgrade {

/**
 * Adds the sections of /status that both daemons have, and the operators' command to lift a
 * quarantine. Precondition: "operators", "membership", "standing", "configuration" and "quarantine"
 * were added to `kernel`.
 */
void add_common_sections(micro_kernel& kernel);

} // namespace camphorgrade
