#pragma once

#include <config/operators_text.h>

#include <string>
#include <string_view>

namespace camphorgrade::config {

/** The text's canonical YAML without the adapters. */
std::string statement_to_yaml(const operators_text& text);

/** Parses YAML that has no adapters of its own together with a catalogue. Never throws. */
parse_result<operators_text> parse_statement(std::string_view yaml, adapter_catalogue adapters);

} // namespace camphorgrade::config
