#pragma once

#include <config/config_fault.h>
#include <node/daemon_options.h>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorgrade {

/** Prints each fault on a line of its own to standard error. */
void print_faults(const std::string& program, const std::vector<config::config_fault>& faults);

/**
 * The main function of a daemon: reads options and settings, checks them, and runs.
 * `parse` turns the settings file's text into settings or faults, `run` returns the exit code.
 */
template <typename Settings>
int run_daemon(const std::string& program, int argc, const char* const* argv,
               config::parse_result<Settings> (*parse)(std::string_view),
               int (*run)(const Settings&)) {
    const auto options = read_daemon_options(program, argc, argv);
    if (const auto* code = std::get_if<int>(&options)) {
        return *code;
    }
    const auto& given = std::get<daemon_options>(options);
    const auto parsed = parse(given.settings_text);
    const auto* settings = std::get_if<Settings>(&parsed);
    if (settings == nullptr) {
        print_faults(program, std::get<std::vector<config::config_fault>>(parsed));
        return exit_bad_settings;
    }
    return given.check_only ? static_cast<int>(exit_ok) : run(*settings);
}

} // namespace camphorgrade
