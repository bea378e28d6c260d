#include <config/operators_text.h>

#include "yaml_reader.h"

#include <algorithm>

namespace camphorgrade::config {
namespace {

constexpr std::uint64_t max_tokens_bound = 1'000'000'000'000;
constexpr std::uint64_t max_rate = 1'000'000'000;
constexpr std::uint64_t max_slots = 100'000;
constexpr std::uint64_t max_timeout_ms = 3'600'000;
constexpr std::uint64_t max_retention_s = 2'592'000;

/** Reads each part of the text; faults go to the list. */
class text_reader {
public:
    explicit text_reader(fault_list& faults) : faults_(&faults) {}

    void read(const yaml_node& root) {
        map_reader map(root, "", *faults_);
        std::uint32_t format = text_format;
        map.number("format", format, {}, presence::required);
        if (format != text_format) {
            faults_->add(config_fault_kind::unsupported_format, locate(root, "format"), "format",
                         "this build reads format " + std::to_string(text_format));
        }
        map.name("deployment", statement.deployment, presence::required);
        map.choice("weigh", statement.weigh, {"load_stalls", "fairness"}, presence::required);
        const auto each = [&](std::string_view field, presence needed, auto member) {
            map.items(field, needed, [&](const yaml_node& node, const std::string& path) {
                (this->*member)(node, path);
            });
        };
        map.nested("store", presence::optional,
                   [&](const auto& node, const auto& path) { read_store(node, path); });
        map.nested("requests", presence::optional,
                   [&](const auto& node, const auto& path) { read_requests(node, path); });
        each("client_accounts", presence::required, &text_reader::read_client_account);
        each("models", presence::optional, &text_reader::read_model);
        each("adapters", presence::optional, &text_reader::read_adapter);
        each("services", presence::required, &text_reader::read_service);
        each("backend_servers", presence::required, &text_reader::read_backend_server);
        map.finish();
    }

    operators_statement statement;
    std::vector<adapter_spec> adapters;

private:
    void read_store(const yaml_node& node, const std::string& path) {
        map_reader map(node, path, *faults_);
        map.number("loads_per_s", statement.store.loads_per_s, {1, 100'000});
        map.milliseconds("load_ms", statement.store.load_time, {1, max_timeout_ms});
        map.number("parallel_loads", statement.store.parallel_loads, {1, 100'000});
        map.finish();
    }

    void read_requests(const yaml_node& node, const std::string& path) {
        constexpr std::uint64_t max_body = 64U << 20U;
        request_limits& requests = statement.requests;
        map_reader map(node, path, *faults_);
        map.number("max_body_bytes", requests.max_body_bytes, {1024, max_body});
        map.number("max_tokens", requests.max_tokens, {1, max_rate});
        map.number("default_max_tokens", requests.default_max_tokens, {1, max_rate});
        map.seconds("record_retention_s", requests.record_retention, {60, max_retention_s});
        map.finish();
    }

    void read_client_account(const yaml_node& node, const std::string& path) {
        client_account_spec account;
        map_reader map(node, path, *faults_);
        map.name("name", account.name, presence::required);
        map.number("rate_tokens_per_s", account.rate_tokens_per_s, {1, max_rate},
                   presence::required);
        map.number("burst_tokens", account.burst_tokens, {1, max_tokens_bound}, presence::required);
        map.finish();
        statement.client_accounts.push_back(std::move(account));
    }

    void read_model(const yaml_node& node, const std::string& path) {
        model_spec model;
        map_reader map(node, path, *faults_);
        map.name("name", model.name, presence::required);
        map.finish();
        statement.models.push_back(std::move(model));
    }

    void read_adapter(const yaml_node& node, const std::string& path) {
        adapter_spec adapter;
        map_reader map(node, path, *faults_);
        map.name("name", adapter.name, presence::required);
        map.name("model", adapter.model, presence::required);
        map.names("versions", adapter.versions, presence::required);
        const bool single = adapter.versions.size() == 1;
        map.name("default_version", adapter.default_version,
                 single ? presence::optional : presence::required);
        if (single && adapter.default_version.empty()) {
            adapter.default_version = adapter.versions.front();
        }
        map.finish();
        adapters.push_back(std::move(adapter));
    }

    void read_service(const yaml_node& node, const std::string& path) {
        service_spec service;
        map_reader map(node, path, *faults_);
        map.name("name", service.name, presence::required);
        map.choice("kind", service.kind, {"model", "plain"}, presence::required);
        map.choice("access", service.access, {"keyed", "open"}, presence::optional);
        map.milliseconds("request_timeout_ms", service.request_timeout, {100, max_timeout_ms});
        map.items("depends_on", presence::optional,
                  [&](const auto& item, const auto& at) { read_dependency(item, at, service); });
        if (service.kind == service_kind::model) {
            map.name("model", service.model, presence::required);
            service.all_adapters = !map.has("adapters");
            map.names("adapters", service.adapters, presence::optional);
        } else {
            map.number("cost_tokens", service.cost_tokens, {0, max_rate});
            map.items("not_repeatable", presence::optional,
                      [&](const auto& item, const auto& at) { read_route(item, at, service); });
        }
        map.finish();
        statement.services.push_back(std::move(service));
    }

    void read_dependency(const yaml_node& node, const std::string& path, service_spec& service) {
        dependency needed;
        map_reader map(node, path, *faults_);
        static constexpr std::string_view fields[] = {"service", "model", "adapter"};
        int named = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            if (map.has(fields[i])) {
                needed.kind = static_cast<dependency_kind>(i);
                map.name(fields[i], needed.name, presence::required);
                ++named;
            }
        }
        if (named != 1 && node.kind == yaml_kind::map) {
            faults_->add(config_fault_kind::bad_value, node, path,
                         "expected one of service, model or adapter");
        }
        map.finish();
        service.depends_on.push_back(std::move(needed));
    }

    void read_route(const yaml_node& node, const std::string& path, service_spec& service) {
        const std::size_t space = std::min(node.scalar.find(' '), node.scalar.size());
        route_rule rule{node.scalar.substr(0, space), ""};
        if (space < node.scalar.size()) {
            rule.path_prefix = node.scalar.substr(space + 1);
        }
        const bool upper = std::all_of(rule.method.begin(), rule.method.end(),
                                       [](char c) { return c >= 'A' && c <= 'Z'; });
        const bool prefix = space == node.scalar.size() || rule.path_prefix.starts_with('/');
        const bool plain = rule.path_prefix.find_first_of(" ?#%\t\n") == std::string::npos;
        if (node.kind != yaml_kind::scalar || rule.method.empty() || !upper || !prefix || !plain) {
            faults_->add(config_fault_kind::bad_value, node, path,
                         "expected METHOD or METHOD /path");
            return;
        }
        auto& rules = service.not_repeatable;
        if (std::find(rules.begin(), rules.end(), rule) != rules.end()) {
            faults_->add(config_fault_kind::duplicate, node, path, node.scalar);
        }
        rules.push_back(std::move(rule));
    }

    void read_backend_server(const yaml_node& node, const std::string& path) {
        backend_server_spec server;
        map_reader map(node, path, *faults_);
        map.name("name", server.name, presence::required);
        map.address("address", server.address, presence::required);
        map.choice("kind", server.kind, {"engine", "plain"}, presence::required);
        map.name("data_centre", server.data_centre, presence::required);
        map.flag("checks_fencing", server.checks_fencing);
        map.flag("checks_caller", server.checks_caller);
        if (server.kind == backend_kind::engine) {
            map.name("model", server.model, presence::required);
            map.number("slots", server.slots, {1, max_slots}, presence::required);
        } else {
            map.names("services", server.services, presence::required);
        }
        map.finish();
        statement.backend_servers.push_back(std::move(server));
    }

    fault_list* faults_;
};

/** Faults that reading has already explained would only be reported a second time. */
bool said_before(const std::vector<config_fault>& faults, const config_fault& fault) {
    return std::any_of(faults.begin(), faults.end(),
                       [&](const config_fault& each) { return each.path == fault.path; });
}

} // namespace

parse_result<operators_text> parse_operators_text(std::string_view yaml) {
    auto document = read_yaml(yaml);
    if (auto* unreadable = std::get_if<std::vector<config_fault>>(&document)) {
        return std::move(*unreadable);
    }
    const yaml_node& root = std::get<yaml_node>(document);
    fault_list faults;
    text_reader reader(faults);
    reader.read(root);
    auto created = operators_text::create(std::move(reader.statement), std::move(reader.adapters));
    const std::vector<config_fault> read_faults = faults.take();
    fault_list all;
    for (const config_fault& fault : read_faults) {
        all.add(fault);
    }
    if (const auto* inconsistent = std::get_if<std::vector<config_fault>>(&created)) {
        for (const config_fault& fault : *inconsistent) {
            if (!said_before(read_faults, fault)) {
                all.add(fault.kind, locate(root, fault.path), fault.path, fault.detail);
            }
        }
    }
    if (!all.empty()) {
        return all.take();
    }
    return created;
}

} // namespace camphorgrade::config
