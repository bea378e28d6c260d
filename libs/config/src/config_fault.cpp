#include <config/config_fault.h>

#include <array>

namespace camphorgrade::config {

std::string_view to_string(config_fault_kind kind) {
    static constexpr std::array<std::string_view, 16> names{
        "syntax",    "too_large",   "wrong_type",         "unknown_field",       "missing_field",
        "duplicate", "bad_number",  "bad_unit",           "out_of_bounds",       "bad_name",
        "bad_value", "bad_address", "unsupported_format", "dangling_dependency", "dependency_cycle",
        "conflict"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string to_string(const config_fault& fault) {
    std::string text = std::to_string(fault.line) + ':' + std::to_string(fault.column) + ": ";
    text += to_string(fault.kind);
    if (!fault.path.empty()) {
        text += ": " + fault.path;
    }
    return text + ": " + fault.detail;
}

} // namespace camphorgrade::config
