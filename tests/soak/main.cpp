// Soaks the real programs by hand: one seed after the other, a line for each.
#include "soak_run.h"

#include <boost/program_options.hpp>

#include <filesystem>
#include <iostream>

namespace {

using namespace camphorgrade;
using namespace camphorgrade::soak;
namespace options = boost::program_options;

constexpr int exit_violated = 1;
constexpr int exit_bad_options = 2;

/** Whether the seed kept every promise; its logs are kept if not, or if asked for. */
bool run_seed(const soak_options& how, bool keeps_logs) {
    const auto result = run_soak(how);
    std::cout << "seed " << how.seed << ": " << result.violations.size() << " violations, "
              << result.whole << " whole, " << result.refused << " refused, " << result.failed
              << " failed, " << result.whole_after_recovery << " whole after recovery, stalled "
              << result.longest_stall.count() << " ms" << std::endl;
    if (result.violations.empty() && !keeps_logs) {
        std::filesystem::remove_all(result.log_folder);
        return true;
    }
    std::cout << "  logs in " << result.log_folder << '\n';
    for (const auto& each : result.violations) {
        std::cout << "  broken: " << each << '\n';
    }
    for (const auto& each : result.faults) {
        std::cout << "  fault: " << each << '\n';
    }
    return result.violations.empty();
}

} // namespace

int main(int argc, char** argv) {
    options::options_description known("camphor-soak");
    known.add_options()("help", "show this")("keep-logs", "keep logs and faults of each seed")(
        "seed", options::value<std::uint64_t>()->default_value(1),
        "first seed")("seeds", options::value<std::uint64_t>()->default_value(1), "how many")(
        "seconds", options::value<int>()->default_value(8), "of faults, for each seed")(
        "entries", options::value<int>()->default_value(3), "entry processes")(
        "engines", options::value<int>()->default_value(3), "engines, each with its agent")(
        "services", options::value<int>()->default_value(2), "plain backend servers")(
        "callers", options::value<int>()->default_value(24), "callers with a connection each");
    try {
        options::variables_map given;
        options::store(options::parse_command_line(argc, argv, known), given);
        options::notify(given);
        if (given.count("help") != 0) {
            std::cout << known;
            return 0;
        }
        soak_options how;
        how.length = std::chrono::seconds(given["seconds"].as<int>());
        how.callers = given["callers"].as<int>();
        how.sizes = {given["entries"].as<int>(), given["engines"].as<int>(),
                     given["services"].as<int>()};
        std::uint64_t failed = 0;
        const auto first = given["seed"].as<std::uint64_t>();
        const auto count = given["seeds"].as<std::uint64_t>();
        for (how.seed = first; how.seed < first + count; ++how.seed) {
            failed += run_seed(how, given.count("keep-logs") != 0) ? 0 : 1;
        }
        std::cout << count - failed << " seeds kept every promise, " << failed << " did not\n";
        return failed == 0 ? 0 : exit_violated;
    } catch (const std::exception& error) {
        std::cerr << "camphor-soak: " << error.what() << '\n';
        return exit_bad_options;
    }
}
