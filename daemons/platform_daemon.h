#pragma once

#include <platform/platform_settings.h>

#include <cstdint>
#include <string>

namespace camphorgrade {

/** Start of this process in Unix milliseconds; tells its lives apart. */
std::uint64_t process_incarnation();

/**
 * The main function of a daemon on the platform: reads the command line and the platform's
 * settings, checks them, and runs; `run` gets the port for metrics, 0 for none. Returns the exit
 * code: 0, or 2 for bad settings.
 */
int run_platform_daemon(const std::string& program, int argc, const char* const* argv,
                        int (*run)(const platform::platform_settings&, std::uint16_t));

} // namespace camphorgrade
