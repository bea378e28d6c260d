#pragma once

#include <config/config_fault.h>

#include <kernel/effect.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::config {

/** Files of the CURVE key pair that authenticates messages between daemons. A value type. */
struct message_key_files {
    std::string public_key;
    std::string secret_key;
    std::string peers; /**< Public keys of the other daemons, one a line. */

    friend bool operator==(const message_key_files&, const message_key_files&) = default;
};

/** What both daemons are told at their start. Addresses are "ip:port". A value type. */
struct node_settings {
    std::string node_address; /**< Advertised message address; this is the value of node_id. */
    std::string data_centre;
    std::string operators_listen; /**< Health, readiness and metrics. */
    std::vector<std::string> key_value_endpoints;
    std::optional<std::string> vm_list_endpoint;
    std::optional<std::string> span_file;
    std::optional<std::string> operator_token_file; /**< Credential for operators' commands. */
    log_level level = log_level::info;
    std::optional<message_key_files> message_keys;

    friend bool operator==(const node_settings&, const node_settings&) = default;
};

/** Settings of a gateway. A value type. */
struct gateway_settings {
    node_settings node;
    std::string callers_listen;
    std::uint32_t caller_threads = 64;          /**< Callers served at once; one thread each. */
    std::optional<std::string> tls_certificate; /**< PEM file with key and chain. */

    friend bool operator==(const gateway_settings&, const gateway_settings&) = default;
};

/** Settings of an agent. A value type. */
struct agent_settings {
    node_settings node;
    std::string backend_server;         /**< Its name in the operators' text. */
    std::uint32_t backend_threads = 64; /**< Calls to the backend server at once. */

    friend bool operator==(const agent_settings&, const agent_settings&) = default;
};

/**
 * Parses a gateway's settings file strictly and reports all faults at once. Never throws.
 * Thread safe.
 *
 * @code
 * const auto parsed = parse_gateway_settings(yaml);
 * if (const auto* settings = std::get_if<gateway_settings>(&parsed)) { run(*settings); }
 * @endcode
 */
parse_result<gateway_settings> parse_gateway_settings(std::string_view yaml);

/** The same for an agent's settings file. */
parse_result<agent_settings> parse_agent_settings(std::string_view yaml);

} // namespace camphorgrade::config
