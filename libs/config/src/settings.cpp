#include <config/settings.h>

#include "yaml_reader.h"

#include <set>

namespace camphorgrade::config {
namespace {

constexpr bounds thread_bounds{1, 4096};

void optional_text(map_reader& map, std::string_view field, std::optional<std::string>& out) {
    std::string value;
    map.text(field, value, presence::optional);
    if (!value.empty()) {
        out = std::move(value);
    }
}

void read_endpoints(map_reader& map, fault_list& faults, std::vector<std::string>& out) {
    std::set<std::string> seen;
    map.items("key_value_endpoints", presence::required, [&](const auto& node, const auto& path) {
        if (node.kind != yaml_kind::scalar || !is_address(node.scalar)) {
            faults.add(config_fault_kind::bad_address, node, path, "expected ip:port");
        } else if (!seen.insert(node.scalar).second) {
            faults.add(config_fault_kind::duplicate, node, path, node.scalar);
        } else {
            out.push_back(node.scalar);
        }
    });
    const yaml_node* list = map.find("key_value_endpoints", presence::optional);
    if (list != nullptr && list->kind == yaml_kind::sequence && list->children.empty()) {
        faults.add(config_fault_kind::out_of_bounds, *list, map.path_of("key_value_endpoints"),
                   "at least one endpoint is required");
    }
}

void read_message_keys(const yaml_node& node, const std::string& path, fault_list& faults,
                       node_settings& out) {
    message_key_files keys;
    map_reader map(node, path, faults);
    map.text("public_key", keys.public_key, presence::required);
    map.text("secret_key", keys.secret_key, presence::required);
    map.text("peers", keys.peers, presence::required);
    map.finish();
    out.message_keys = std::move(keys);
}

void read_node(map_reader& map, fault_list& faults, node_settings& out) {
    map.address("node_address", out.node_address, presence::required);
    map.name("data_centre", out.data_centre, presence::required);
    map.address("operators_listen", out.operators_listen, presence::required);
    read_endpoints(map, faults, out.key_value_endpoints);
    std::string vm_list;
    map.address("vm_list_endpoint", vm_list, presence::optional);
    if (!vm_list.empty()) {
        out.vm_list_endpoint = std::move(vm_list);
    }
    optional_text(map, "span_file", out.span_file);
    optional_text(map, "operator_token_file", out.operator_token_file);
    map.choice("log_level", out.level, {"debug", "info", "warning", "error"}, presence::optional);
    map.nested("message_keys", presence::optional, [&](const auto& node, const auto& path) {
        read_message_keys(node, path, faults, out);
    });
}

void read(map_reader& map, fault_list& faults, gateway_settings& out) {
    read_node(map, faults, out.node);
    map.address("callers_listen", out.callers_listen, presence::required);
    map.number("caller_threads", out.caller_threads, thread_bounds);
    optional_text(map, "tls_certificate", out.tls_certificate);
}

void read(map_reader& map, fault_list& faults, agent_settings& out) {
    read_node(map, faults, out.node);
    map.name("backend_server", out.backend_server, presence::required);
    map.number("backend_threads", out.backend_threads, thread_bounds);
}

template <typename T>
parse_result<T> parse_settings(std::string_view yaml) {
    auto document = read_yaml(yaml);
    if (auto* unreadable = std::get_if<std::vector<config_fault>>(&document)) {
        return std::move(*unreadable);
    }
    fault_list faults;
    T settings;
    map_reader map(std::get<yaml_node>(document), "", faults);
    read(map, faults, settings);
    map.finish();
    if (!faults.empty()) {
        return faults.take();
    }
    return settings;
}

} // namespace

parse_result<gateway_settings> parse_gateway_settings(std::string_view yaml) {
    return parse_settings<gateway_settings>(yaml);
}

parse_result<agent_settings> parse_agent_settings(std::string_view yaml) {
    return parse_settings<agent_settings>(yaml);
}

} // namespace camphorgrade::config
