#pragma once

#include <config/adapter_catalogue.h>
#include <config/config_fault.h>
#include <config/specs.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::config {

/** Version of the text's format that this build reads and writes. */
constexpr std::uint32_t text_format = 1;

/** Everything an operators' text says but the adapters. A value type. */
struct operators_statement {
    std::string deployment;
    deployment_weight weigh = deployment_weight::load_stalls;
    store_limits store;
    request_limits requests;
    std::vector<client_account_spec> client_accounts;
    std::vector<model_spec> models;
    std::vector<service_spec> services;
    std::vector<backend_server_spec> backend_servers;

    friend bool operator==(const operators_statement&, const operators_statement&) = default;
};

/**
 * What the operators want to hold: services, adapters, client accounts and backend servers.
 * Every instance is consistent: names are unique, references resolve, dependencies have no cycle.
 * Lists are in name order. Immutable; all functions are thread safe.
 *
 * @code
 * auto parsed = parse_operators_text(yaml);
 * if (const auto* text = std::get_if<operators_text>(&parsed)) {
 *     const auto adapter = text->resolve_adapter("concert-hall@v3");
 * }
 * @endcode
 */
class operators_text {
public:
    /** Checks the parts against each other; the faults have paths but no lines. */
    static parse_result<operators_text> create(operators_statement statement,
                                               std::vector<adapter_spec> adapters);

    /** The same for a catalogue that is already built, and so has no duplicates. */
    static parse_result<operators_text> create(operators_statement statement,
                                               adapter_catalogue adapters);

    const operators_statement& statement() const noexcept { return statement_; }
    const std::string& deployment() const noexcept { return statement_.deployment; }
    deployment_weight weigh() const noexcept { return statement_.weigh; }
    const store_limits& store() const noexcept { return statement_.store; }
    const request_limits& requests() const noexcept { return statement_.requests; }
    const std::vector<client_account_spec>& client_accounts() const noexcept {
        return statement_.client_accounts;
    }
    const std::vector<model_spec>& models() const noexcept { return statement_.models; }
    const std::vector<service_spec>& services() const noexcept { return statement_.services; }
    const std::vector<backend_server_spec>& backend_servers() const noexcept {
        return statement_.backend_servers;
    }
    const adapter_catalogue& adapters() const noexcept { return adapters_; }

    /** Each finds by name; null when there is none. The pointer holds as long as this object. */
    const client_account_spec* find_client_account(std::string_view name) const;
    const model_spec* find_model(std::string_view name) const;
    const service_spec* find_service(std::string_view name) const;
    const backend_server_spec* find_backend_server(std::string_view name) const;

    std::optional<adapter_spec> find_adapter(std::string_view name) const {
        return adapters_.find(name);
    }

    /** Resolves "name" or "name@version"; none when the adapter or version does not exist. */
    std::optional<adapter_ref> resolve_adapter(std::string_view spelled) const {
        return adapters_.resolve(spelled);
    }

    /** The one model service that serves the adapter of that name; null when none does. */
    const service_spec* service_of_adapter(std::string_view adapter) const;

    friend bool operator==(const operators_text&, const operators_text&) = default;

private:
    operators_text(operators_statement statement, adapter_catalogue adapters);

    operators_statement statement_;
    adapter_catalogue adapters_;
};

/** Parses YAML strictly and reports all faults at once. Never throws on any input. Thread safe. */
parse_result<operators_text> parse_operators_text(std::string_view yaml);

/** Canonical YAML; parsing it gives an equal text. Thread safe. */
std::string to_yaml(const operators_text& text);

} // namespace camphorgrade::config
