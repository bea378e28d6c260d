#pragma once

#include <kernel/micro_kernel.h>

namespace camphorgrade::gateway {

/**
 * Adds what operators see of a gateway to its "operators" service: /ready and the sections of
 * /status. Precondition: all services of a gateway were added to `kernel`.
 */
void describe_gateway(micro_kernel& kernel);

} // namespace camphorgrade::gateway
