#pragma once

#include <config/settings.h>

namespace camphorgrade::gateway {

/**
 * Runs a gateway until it is asked to shut down gracefully and has done so.
 *
 * Returns a daemon_exit code. Call once in a process, from its main thread.
 *
 * @code
 * return camphorgrade::gateway::run_gateway(settings);
 * @endcode
 */
int run_gateway(const config::gateway_settings& settings);

} // namespace camphorgrade::gateway
