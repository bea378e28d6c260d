#pragma once

#include <agent/vllm_driver.h>

#include <config/settings.h>
#include <kernel/micro_kernel.h>
#include <node/common_services.h>

namespace camphorgrade::agent {

/** What the services of an agent use and do not own. Must outlive the kernel. */
struct agent_parts {
    common_parts common;
    vllm_driver driver;
};

/**
 * Adds all services of an agent and what operators see of them.
 * Preconditions: `kernel` has none yet; `parts` outlives it.
 */
void add_agent_services(micro_kernel& kernel, const config::agent_settings& settings,
                        agent_parts& parts);

} // namespace camphorgrade::agent
