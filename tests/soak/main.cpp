// Runs soak tests of the real programs for a range of seeds and prints a line for each seed.
#include "soak_run.h"

#include <boost/program_options.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace camphorgrade;
using namespace camphorgrade::soak;
namespace options = boost::program_options;

constexpr int exit_violated = 1;
constexpr int exit_bad_options = 2;

/** Returns whether there was no violation. Logs are kept after a violation or if `keep_logs`. */
bool run_seed(const soak_options& run_options, bool keep_logs) {
    const auto result = run_soak(run_options);
    std::cout << "seed " << run_options.seed << ": " << result.violations.size() << " violations, "
              << result.complete << " complete, " << result.refused << " refused, " << result.failed
              << " failed, " << result.complete_share_after_recovery
              << " complete after recovery, stalled " << result.longest_stall.count() << " ms"
              << std::endl;
    if (run_options.has_resuming_callers) {
        std::cout << "  " << result.resumptions.summary() << '\n'
                  << "  in touch: " << to_string(result.lost) << '\n';
    }
    if (run_options.has_crashing_requests) {
        std::cout << "  " << result.crashes << '\n';
    }
    if (result.violations.empty() && !keep_logs) {
        std::filesystem::remove_all(result.log_folder);
        return true;
    }
    std::cout << "  logs in " << result.log_folder << '\n';
    std::ofstream trace(result.log_folder + "/resumptions.txt");
    for (const auto& line : result.resumption_trace) {
        trace << line << '\n';
    }
    for (const auto& line : result.violations) {
        std::cout << "  violation: " << line << '\n';
    }
    for (const auto& line : result.faults) {
        std::cout << "  fault: " << line << '\n';
    }
    return result.violations.empty();
}

std::vector<response_fault_kind> read_kinds(const std::vector<std::string>& names) {
    std::vector<response_fault_kind> out;
    for (const auto& each : names) {
        const auto kind = find_fault_kind(each);
        if (!kind) {
            throw std::invalid_argument("unknown kind of fault: " + each);
        }
        out.push_back(*kind);
    }
    return out;
}

} // namespace

int main(int argc, char** argv) {
    options::options_description description("camphor-soak");
    description.add_options()("help", "show the options")(
        "keep-logs", "keep the logs and print the faults of each seed")(
        "seed", options::value<std::uint64_t>()->default_value(1),
        "first seed")("seeds", options::value<std::uint64_t>()->default_value(1),
                      "number of seeds")("seconds", options::value<int>()->default_value(8),
                                         "duration of the faults for each seed, in s")(
        "entries", options::value<int>()->default_value(3), "entry processes")(
        "engines", options::value<int>()->default_value(3), "engines, each with an agent")(
        "services", options::value<int>()->default_value(2), "plain backend servers")(
        "crashing-requests", "inject only requests that crash the engines (try --engines 8)")(
        "response-faults", options::value<std::vector<std::string>>()->multitoken(),
        "also inject faults of responses, of these kinds: unframed, fragmented, cut, "
        "unframed-cut, repeated, early, wrong-ids")(
        "resume-streams", "callers take broken streams up again at any entry")(
        "programs", options::value<std::string>()->default_value(""),
        "folder of the programs under test, for example of an earlier version; default: this "
        "build")("callers", options::value<int>()->default_value(24),
                 "callers, each with one connection");
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        if (values.count("help") != 0) {
            std::cout << description;
            return 0;
        }
        soak_options run_options;
        run_options.fault_duration = std::chrono::seconds(values["seconds"].as<int>());
        run_options.callers = values["callers"].as<int>();
        run_options.sizes = {values["entries"].as<int>(), values["engines"].as<int>(),
                             values["services"].as<int>(), values["programs"].as<std::string>()};
        run_options.has_resuming_callers = values.count("resume-streams") != 0;
        run_options.has_crashing_requests = values.count("crashing-requests") != 0;
        if (values.count("response-faults") != 0) {
            run_options.response_faults =
                read_kinds(values["response-faults"].as<std::vector<std::string>>());
        }
        std::uint64_t failed = 0;
        const auto first_seed = values["seed"].as<std::uint64_t>();
        const auto seed_count = values["seeds"].as<std::uint64_t>();
        for (run_options.seed = first_seed; run_options.seed < first_seed + seed_count;
             ++run_options.seed) {
            failed += run_seed(run_options, values.count("keep-logs") != 0) ? 0 : 1;
        }
        std::cout << seed_count - failed << " seeds without violations, " << failed
                  << " with violations\n";
        return failed == 0 ? 0 : exit_violated;
    } catch (const std::exception& error) {
        std::cerr << "camphor-soak: " << error.what() << '\n';
        return exit_bad_options;
    }
}
