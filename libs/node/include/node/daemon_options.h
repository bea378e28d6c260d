#pragma once

#include <optional>
#include <string>
#include <variant>

namespace camphorgrade {

/** Exit codes of the daemons. */
enum daemon_exit : int {
    exit_ok = 0,          /**< Ended gracefully, or the settings are valid. */
    exit_failed = 1,      /**< Could not start: an address in use, a certificate unreadable. */
    exit_bad_settings = 2 /**< Wrong options or settings; all faults are listed. */
};

/** What the command line of a daemon asks for. A value type. */
struct daemon_options {
    std::string settings_text; /**< Contents of the settings file. */
    bool check_only = false;

    friend bool operator==(const daemon_options&, const daemon_options&) = default;
};

/**
 * Reads the command line of a daemon and its settings file. Prints help, version and faults itself;
 * gives an exit code when the process should end at once. Not thread safe.
 *
 * @code
 * const auto options = read_daemon_options("camphor-gateway", argc, argv);
 * if (const auto* code = std::get_if<int>(&options)) { return *code; }
 * @endcode
 */
std::variant<daemon_options, int> read_daemon_options(const std::string& program, int argc,
                                                      const char* const* argv);

} // namespace camphorgrade
