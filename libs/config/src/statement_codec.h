#pragma once

#include <config/operators_text.h>
#include <config/packed_text.h>

#include <string>
#include <variant>
#include <vector>

namespace camphorgrade::config {

/** Cuts a statement into encoded pieces, so that an edit of one item changes few of them. */
std::vector<std::string> cut_statement(const operators_statement& statement);

/** The statement that the pieces, one after the other, stand for. Checks no references. */
std::variant<operators_statement, assembly_fault> join_statement(const std::string& pieces);

} // namespace camphorgrade::config
