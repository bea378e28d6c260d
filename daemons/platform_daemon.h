#pragma once

#include <platform/platform_settings.h>

#include <cstdint>
#include <string>

namespace camphorgrade {

/** Options of the command line that a program gets. A value type. */
struct daemon_options {
    std::uint16_t metrics_port = 0;    /**< 0: metrics are not served. */
    bool uses_measured_speeds = false; /**< Gateways share and use measured speeds of servers. */

    friend bool operator==(const daemon_options&, const daemon_options&) = default;
};

/** Incarnation of this process: its start time in Unix milliseconds. Call once, at the start. */
std::uint64_t process_incarnation();

/**
 * Main function of a daemon on the platform: parses the command line, reads and validates the
 * platform's settings, and calls `run` with the settings and the options. Returns the result of
 * `run`; 0 after --help or a successful --check; 2 for a bad command line or bad settings; 1 if an
 * exception is thrown.
 */
int run_platform_daemon(const std::string& program, int argc, const char* const* argv,
                        int (*run)(const platform::platform_settings&, const daemon_options&));

} // namespace camphorgrade
