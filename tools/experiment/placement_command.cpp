#include "placement_command.h"

#include "placement_model.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace camphorgrade::experiment {

namespace {

namespace options = boost::program_options;

constexpr int exit_usage = 2;

using measures_by_name = std::map<std::string, std::vector<double>>;

options::options_description described() {
    options::options_description all("placement");
    all.add_options()("deployment", options::value<std::string>()->default_value("hljodvangur"),
                      "hljodvangur or cal-y-suelo");
    all.add_options()("policy", options::value<std::string>()->default_value("all"),
                      "random, least-loaded, consistent-hash, exchange, ours, or all");
    all.add_options()("scenario", options::value<std::string>()->default_value("steady"),
                      "steady, shift, restart, cold, tenant, load-failures, or all");
    all.add_options()("seed", options::value<std::uint64_t>()->default_value(1), "first seed");
    all.add_options()("seeds", options::value<std::uint64_t>()->default_value(1),
                      "seeds to run, counting up");
    all.add_options()("requests-per-s", options::value<double>(), "instead of the deployment's");
    all.add_options()("weigh", options::value<std::string>(),
                      "load_stalls or fairness, instead of the deployment's");
    all.add_options()("json", "print JSON");
    all.add_options()("help", "print this");
    return all;
}

std::vector<std::string> one_or_all(const std::string& given, std::vector<std::string> all) {
    return given == "all" ? std::move(all) : std::vector<std::string>{given};
}

nlohmann::json spread(std::vector<double> values) {
    std::ranges::sort(values);
    return {{"min", values.front()}, {"median", values[values.size() / 2]}, {"max", values.back()}};
}

nlohmann::json run_seeds(const deployment& sizes, const scenario& happens,
                         const std::string& policy, const options::variables_map& given) {
    measures_by_name collected;
    const auto first = given["seed"].as<std::uint64_t>();
    for (std::uint64_t i = 0; i < given["seeds"].as<std::uint64_t>(); ++i) {
        placement_model model(sizes, happens, policy, first + i);
        for (const auto& [name, value] : model.run()) {
            collected[name].push_back(value);
        }
    }
    nlohmann::json result{{"deployment", sizes.name},
                          {"scenario", happens.name},
                          {"policy", policy},
                          {"requests_per_s", sizes.requests_per_s}};
    for (auto& [name, values] : collected) {
        result["measures"][name] = spread(std::move(values));
    }
    return result;
}

void print_table(const nlohmann::json& result) {
    const auto cell = [&](const char* name, int digits) {
        const auto& measure = result["measures"][name];
        std::printf(" | %.*f/%.*f/%.*f", digits, measure["min"].get<double>(), digits,
                    measure["median"].get<double>(), digits, measure["max"].get<double>());
    };
    std::printf("| %s | %s", result["scenario"].get<std::string>().c_str(),
                result["policy"].get<std::string>().c_str());
    cell("stall_mean_ms", 0);
    cell("stall_p95_ms", 0);
    cell("stall_p99_ms", 0);
    cell("stalled_share", 3);
    cell("batch_efficiency", 3);
    cell("first_token_p95_ms", 0);
    cell("worst_account", 3);
    cell("refused", 0);
    cell("loads_per_s", 2);
    std::printf(" |\n");
}

int run_all(const deployment& sizes, const options::variables_map& given) {
    const bool json = given.count("json") > 0;
    if (!json) {
        std::puts("| scenario | policy | stall mean ms | p95 ms | p99 ms | stalled | batch | first "
                  "token p95 ms | worst account | refused | loads/s |\n"
                  "|---|---|---|---|---|---|---|---|---|---|---|");
    }
    nlohmann::json results = nlohmann::json::array();
    for (const auto& name : one_or_all(given["scenario"].as<std::string>(), scenario_names())) {
        const auto happens = find_scenario(name);
        for (const auto& policy : one_or_all(given["policy"].as<std::string>(), policy_names())) {
            if (!happens || make_policy(policy, 1, {}) == nullptr) {
                std::cerr << "placement: unknown scenario or policy\n";
                return exit_usage;
            }
            results.push_back(run_seeds(sizes, *happens, policy, given));
            if (!json) {
                print_table(results.back());
                std::fflush(stdout);
            }
        }
    }
    if (json) {
        std::cout << results.dump(2) << '\n';
    }
    return 0;
}

int run(const std::vector<std::string>& arguments) {
    options::variables_map given;
    try {
        options::store(options::command_line_parser(arguments).options(described()).run(), given);
    } catch (const options::error& wrong) {
        std::cerr << "placement: " << wrong.what() << '\n' << described();
        return exit_usage;
    }
    if (given.count("help") > 0) {
        std::cout << described();
        return 0;
    }
    auto sizes = find_deployment(given["deployment"].as<std::string>());
    if (!sizes) {
        std::cerr << "placement: unknown deployment\n";
        return exit_usage;
    }
    if (given.count("requests-per-s") > 0) {
        sizes->requests_per_s = given["requests-per-s"].as<double>();
    }
    if (given.count("weigh") > 0) {
        const auto weigh = placement::parse_weighed_measure(given["weigh"].as<std::string>());
        if (!weigh) {
            std::cerr << "placement: unknown measure\n";
            return exit_usage;
        }
        sizes->weigh = *weigh;
    }
    return run_all(*sizes, given);
}

} // namespace

const command placement_command{"placement", "routing, loads and scheduling in a model fleet", run};

} // namespace camphorgrade::experiment
