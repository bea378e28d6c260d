#pragma once

#include <kernel/micro_kernel.h>

namespace camphorgrade::agent {

/**
 * Adds what operators see of an agent to its "operators" service: /ready and the sections of
 * /status. Precondition: all services of an agent were added to `kernel`.
 */
void describe_agent(micro_kernel& kernel);

} // namespace camphorgrade::agent
