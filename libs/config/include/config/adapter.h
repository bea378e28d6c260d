#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::config {

/** Identity of an adapter at one version; two versions are two adapters. A value type. */
struct adapter_ref {
    std::string name;
    std::string version;

    friend bool operator==(const adapter_ref&, const adapter_ref&) = default;
    friend auto operator<=>(const adapter_ref&, const adapter_ref&) = default;
};

/** "name@version". Thread safe. */
std::string to_string(const adapter_ref& adapter);

/** One adapter of the catalogue with the versions that may be asked for. A value type. */
struct adapter_spec {
    std::string name;
    std::string model;                 /**< Base model it was trained for. */
    std::vector<std::string> versions; /**< In the operators' order; at least one. */
    std::string default_version;       /**< Served when a caller names no version. */

    friend bool operator==(const adapter_spec&, const adapter_spec&) = default;
};

} // namespace camphorgrade::config

template <>
struct std::hash<camphorgrade::config::adapter_ref> {
    std::size_t operator()(const camphorgrade::config::adapter_ref& adapter) const noexcept {
        constexpr std::size_t multiplier = 0x9e3779b97f4a7c15ULL;
        const std::hash<std::string> hash_text;
        return hash_text(adapter.name) * multiplier ^ hash_text(adapter.version);
    }
};
