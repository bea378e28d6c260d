#pragma once

#include <platform/platform_settings.h>

#include <cstdint>
#include <string>

namespace camphorgrade {

/** Incarnation of this process: its start time in Unix milliseconds. Call once, at the start. */
std::uint64_t process_incarnation();

/**
 * Main function of a daemon on the platform: parses the command line, reads and validates the
 * platform's settings, and calls `run` with the settings and the metrics port (0: metrics are not
 * served). Returns the result of `run`; 0 after --help or a successful --check; 2 for a bad command
 * line or bad settings; 1 if an exception is thrown.
 */
int run_platform_daemon(const std::string& program, int argc, const char* const* argv,
                        int (*run)(const platform::platform_settings&, std::uint16_t));

} // namespace camphorgrade
