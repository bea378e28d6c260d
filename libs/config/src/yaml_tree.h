#pragma once

#include <config/config_fault.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::config {

enum class yaml_kind : std::uint8_t { null, scalar, sequence, map };

/** A node of a parsed YAML document. Maps hold keys and values in turn. */
struct yaml_node {
    yaml_kind kind = yaml_kind::null;
    bool quoted = false;
    std::uint32_t line = 0; /**< From 1. */
    std::uint32_t column = 0;
    std::string scalar;
    std::vector<yaml_node> children;
};

/** Reads one YAML document; aliases, anchors and deep nesting are faults. Never throws. */
parse_result<yaml_node> read_yaml(std::string_view yaml);

/** The node at a path such as "a[2].b", or the deepest one on the way to it. */
const yaml_node& locate(const yaml_node& root, std::string_view path);

} // namespace camphorgrade::config
