#include "capacity_command.h"

#include "capacity_measures.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace camphorgrade::experiment {

namespace {

namespace options = boost::program_options;

constexpr int exit_usage = 2;
constexpr std::size_t fixed_nodes = 20;
constexpr std::size_t fixed_slots = 8;
constexpr std::size_t fixed_agents = 100;

nlohmann::json measure_all() {
    const std::vector<std::size_t> fleets{10, 20, 40, 80, 160};
    const std::vector<std::size_t> known{50, 100, 200, 400, 840};
    const std::vector<std::size_t> slots{2, 4, 8, 16, 32};
    nlohmann::json all;
    all["standing_by_gateways"] = fit_sizes(
        fleets, [](std::size_t size) { return measure_idle_fleet(size, fixed_nodes, false); });
    all["standing_by_agents"] = fit_sizes(
        fleets, [](std::size_t size) { return measure_idle_fleet(fixed_nodes, size, false); });
    all["standing_and_idle_limits_by_gateways"] = fit_sizes(
        fleets, [](std::size_t size) { return measure_idle_fleet(size, fixed_nodes, true); });
    all["choose_by_agents"] =
        fit_sizes(known, [](std::size_t size) { return measure_choose(size, fixed_slots); });
    all["choose_by_slots"] =
        fit_sizes(slots, [](std::size_t size) { return measure_choose(fixed_agents, size); });
    all["key_check_by_keys"] = fit_sizes({1'000, 4'000, 16'000, 64'000}, measure_key_check);
    return all;
}

void print(const nlohmann::json& all) {
    for (const auto& [name, group] : all.items()) {
        std::cout << name << ", sizes " << group["sizes"].dump() << '\n';
        for (const auto& [value, fit] : group["fits"].items()) {
            std::cout << "    " << value << ": " << fit.dump() << '\n';
        }
    }
}

int run(const std::vector<std::string>& arguments) {
    options::options_description described("capacity");
    described.add_options()("gateways", options::value<std::size_t>(),
                            "measure only an idle fleet of this many gateways, with limits");
    described.add_options()("agents", options::value<std::size_t>()->default_value(fixed_nodes),
                            "agents of that fleet");
    described.add_options()("json", "print JSON");
    described.add_options()("help", "print this");
    options::variables_map given;
    try {
        options::store(options::command_line_parser(arguments).options(described).run(), given);
    } catch (const options::error& fault) {
        std::cerr << fault.what() << '\n' << described;
        return exit_usage;
    }
    if (given.count("help") != 0) {
        std::cout << described;
        return 0;
    }
    if (given.count("gateways") != 0) {
        const nlohmann::json one = measure_idle_fleet(given["gateways"].as<std::size_t>(),
                                                      given["agents"].as<std::size_t>(), true);
        std::cout << one.dump(2) << '\n';
        return 0;
    }
    const nlohmann::json all = measure_all();
    if (given.count("json") != 0) {
        std::cout << all.dump(2) << '\n';
    } else {
        print(all);
    }
    return 0;
}

} // namespace

const command capacity_command{"capacity", "slopes of control cost against fleet size", run};

} // namespace camphorgrade::experiment
