#pragma once

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace camphorgrade::experiment {

/** Named values of one size. */
using capacity_values = std::map<std::string, double>;

/** Measures at each size and fits a line to each value: slope, intercept, largest residual. */
nlohmann::json fit_sizes(const std::vector<std::size_t>& sizes,
                         const std::function<capacity_values(std::size_t)>& measure);

/** Control traffic, processor time and store calls of an idle fleet. */
capacity_values measure_idle_fleet(std::size_t gateways, std::size_t agents, bool with_limits);

/** Processor time of one routing decision. */
capacity_values measure_choose(std::size_t agents, std::size_t slots);

/** Processor time of checking one valid key. */
capacity_values measure_key_check(std::size_t keys);

/** Processor time that this thread has used, in seconds. */
double thread_cpu_s();

} // namespace camphorgrade::experiment
