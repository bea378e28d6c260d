#include <node/daemon_options.h>

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>
#include <sstream>

namespace camphorgrade {

namespace {

namespace po = boost::program_options;

std::optional<std::string> read_file(const std::string& path) {
    const std::ifstream in(path, std::ios::binary);
    if (!in) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
}

void print_help(const std::string& program, const po::options_description& described) {
    std::cout << "usage: " << program << " --config FILE [--check]\n\n"
              << described
              << "\nSIGTERM ends the process gracefully.\n"
                 "exit codes: 0 ended gracefully or settings valid, 1 could not start, "
                 "2 bad options or settings\n";
}

} // namespace

std::variant<daemon_options, int> read_daemon_options(const std::string& program, int argc,
                                                      const char* const* argv) {
    po::options_description described("options");
    described.add_options()("config", po::value<std::string>(), "settings file (YAML)")(
        "check", "check the settings, list all faults, and exit")("help", "show this text")(
        "version", "show the version");
    po::variables_map given;
    try {
        po::store(po::parse_command_line(argc, argv, described), given);
    } catch (const po::error& fault) {
        std::cerr << program << ": " << fault.what() << '\n';
        return exit_bad_settings;
    }
    if (given.count("help") != 0) {
        print_help(program, described);
        return exit_ok;
    }
    if (given.count("version") != 0) {
        std::cout << program << ' ' << CAMPHOR_VERSION << '\n';
        return exit_ok;
    }
    if (given.count("config") == 0) {
        std::cerr << program << ": --config is needed\n";
        return exit_bad_settings;
    }
    const auto text = read_file(given["config"].as<std::string>());
    if (!text) {
        std::cerr << program << ": cannot read " << given["config"].as<std::string>() << '\n';
        return exit_bad_settings;
    }
    return daemon_options{*text, given.count("check") != 0};
}

} // namespace camphorgrade
