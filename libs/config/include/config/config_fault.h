#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace camphorgrade::config {

/** What is wrong with a place in a YAML text. */
enum class config_fault_kind {
    syntax,              /**< Not YAML, or YAML that is not accepted here (aliases, tags). */
    too_large,           /**< The text, a list or a nesting is beyond its limit. */
    wrong_type,          /**< A map, list or scalar stands where another is expected. */
    unknown_field,       /**< A field that this format does not have. */
    missing_field,       /**< A required field is absent. */
    duplicate,           /**< A field, name or list item occurs twice. */
    bad_number,          /**< Not a whole number. */
    bad_unit,            /**< A number with a unit; the field's name says the unit. */
    out_of_bounds,       /**< A number outside the field's bounds. */
    bad_name,            /**< A name with characters that names may not have, or too long. */
    bad_value,           /**< Not one of the values that the field allows. */
    bad_address,         /**< Not `ip:port`. */
    unsupported_format,  /**< Written for another format version. */
    dangling_dependency, /**< Refers to something that the text does not have. */
    dependency_cycle,    /**< Services that depend on each other in a circle. */
    conflict             /**< Two statements that cannot both hold. */
};

/** Stable name of the kind, such as "unknown_field". Thread safe. */
std::string_view to_string(config_fault_kind kind);

/** One fault with its place. `line` and `column` count from 1; 0 means the text as a whole. */
struct config_fault {
    config_fault_kind kind = config_fault_kind::syntax;
    std::size_t line = 0;
    std::size_t column = 0;
    std::string path;   /**< Such as "services[2].depends_on[0].service". */
    std::string detail; /**< What was found or expected. */

    friend bool operator==(const config_fault&, const config_fault&) = default;
};

/** "line:column: kind: path: detail". Thread safe. */
std::string to_string(const config_fault& fault);

/** A value, or every fault that was found, in the order of their places. */
template <typename T>
using parse_result = std::variant<T, std::vector<config_fault>>;

} // namespace camphorgrade::config
