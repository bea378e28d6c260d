#pragma once

#include <config/settings.h>

namespace camphorgrade::agent {

/**
 * Runs an agent until it is asked to shut down gracefully and has done so.
 *
 * Returns a daemon_exit code. Call once in a process, from its main thread.
 *
 * @code
 * return camphorgrade::agent::run_agent(settings);
 * @endcode
 */
int run_agent(const config::agent_settings& settings);

} // namespace camphorgrade::agent
