#pragma once

#include <config/settings.h>
#include <kernel/micro_kernel.h>
#include <node/common_services.h>

namespace camphorgrade::gateway {

/**
 * Adds all services of a gateway and what operators see of them.
 * Preconditions: `kernel` has none yet; `parts` outlives it.
 */
void add_gateway_services(micro_kernel& kernel, const config::gateway_settings& settings,
                          common_parts& parts);

} // namespace camphorgrade::gateway
