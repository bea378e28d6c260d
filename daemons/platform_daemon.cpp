#include "platform_daemon.h"

#include <boost/program_options.hpp>

#include <chrono>
#include <csignal>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <variant>

namespace camphorgrade {

namespace {

namespace options = boost::program_options;

constexpr int exit_bad_settings = 2;
constexpr int exit_failed = 1;
constexpr const char* default_settings_path = "/etc/camphorgrade/boot.conf";

int load_and_run(const std::string& program, const std::string& path, bool check_only,
                 const daemon_options& chosen,
                 int (*run)(const platform::platform_settings&, const daemon_options&)) {
    std::ifstream file(path);
    if (!file) {
        std::cerr << program << ": cannot read the settings file " << path << '\n';
        return exit_bad_settings;
    }
    std::ostringstream text;
    text << file.rdbuf();
    const auto parsed = platform::parse_settings(text.str());
    if (const auto* errors = std::get_if<std::vector<platform::settings_fault>>(&parsed)) {
        for (const auto& each : *errors) {
            std::cerr << program << ": " << path << ": " << each.field << ' ' << each.reason
                      << '\n';
        }
        return exit_bad_settings;
    }
    return check_only ? 0 : run(std::get<platform::platform_settings>(parsed), chosen);
}

} // namespace

std::uint64_t process_incarnation() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

int run_platform_daemon(const std::string& program, int argc, const char* const* argv,
                        int (*run)(const platform::platform_settings&, const daemon_options&)) {
    static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
    options::options_description supported(program);
    supported.add_options()("help", "show this help")("check", "check the settings and exit")(
        "settings", options::value<std::string>()->default_value(default_settings_path),
        "path of the platform's settings file")(
        "metrics-port", options::value<std::uint16_t>()->default_value(0),
        "port on which to serve metrics; 0: metrics are not served")(
        "measured-speeds", "place requests by measured speeds of backend servers");
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, supported), arguments);
        options::notify(arguments);
        if (arguments.count("help") != 0) {
            std::cout << supported;
            return 0;
        }
        return load_and_run(program, arguments["settings"].as<std::string>(),
                            arguments.count("check") != 0,
                            {arguments["metrics-port"].as<std::uint16_t>(),
                             arguments.count("measured-speeds") != 0},
                            run);
    } catch (const options::error& error) {
        std::cerr << program << ": " << error.what() << '\n';
        return exit_bad_settings;
    } catch (const std::exception& error) {
        std::cerr << program << ": " << error.what() << '\n';
        return exit_failed;
    }
}

} // namespace camphorgrade
