#pragma once

#include <config/operators_text.h>

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace camphorgrade::config {

/** Finds an adapter of the catalogue by name. */
using adapter_finder = std::function<std::optional<adapter_spec>(std::string_view)>;

/** Duplicate adapters, unknown models, versions that repeat or lack the default one. */
std::vector<config_fault> check_adapters(const operators_statement& statement,
                                         const std::vector<adapter_spec>& adapters);

/** Duplicate names, references that do not resolve, cycles, statements that clash. */
std::vector<config_fault> check_statement(const operators_statement& statement,
                                          const adapter_finder& find_adapter);

} // namespace camphorgrade::config
