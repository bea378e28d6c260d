#include <config/operators_text.h>

#include <yaml-cpp/emitter.h>
#include <yaml-cpp/stlemitter.h>

namespace camphorgrade::config {
namespace {

void field(YAML::Emitter& out, const char* name, const auto& value) {
    out << YAML::Key << name << YAML::Value << value;
}

void list(YAML::Emitter& out, const char* name, const std::vector<std::string>& items) {
    out << YAML::Key << name << YAML::Value << YAML::Flow << items;
}

void emit(YAML::Emitter& out, const client_account_spec& account) {
    out << YAML::Flow << YAML::BeginMap;
    field(out, "name", account.name);
    field(out, "rate_tokens_per_s", account.rate_tokens_per_s);
    field(out, "burst_tokens", account.burst_tokens);
    out << YAML::EndMap;
}

void emit(YAML::Emitter& out, const model_spec& model) {
    out << YAML::Flow << YAML::BeginMap;
    field(out, "name", model.name);
    out << YAML::EndMap;
}

void emit(YAML::Emitter& out, const adapter_spec& adapter) {
    out << YAML::Flow << YAML::BeginMap;
    field(out, "name", adapter.name);
    field(out, "model", adapter.model);
    list(out, "versions", adapter.versions);
    field(out, "default_version", adapter.default_version);
    out << YAML::EndMap;
}

void emit_dependencies(YAML::Emitter& out, const std::vector<dependency>& dependencies) {
    static constexpr const char* fields[] = {"service", "model", "adapter"};
    out << YAML::Key << "depends_on" << YAML::Value << YAML::Flow << YAML::BeginSeq;
    for (const dependency& each : dependencies) {
        out << YAML::Flow << YAML::BeginMap;
        field(out, fields[static_cast<std::size_t>(each.kind)], each.name);
        out << YAML::EndMap;
    }
    out << YAML::EndSeq;
}

void emit(YAML::Emitter& out, const service_spec& service) {
    out << YAML::BeginMap;
    field(out, "name", service.name);
    if (service.kind == service_kind::model) {
        field(out, "kind", "model");
        field(out, "model", service.model);
        if (!service.all_adapters) {
            list(out, "adapters", service.adapters);
        }
    } else {
        field(out, "kind", "plain");
        field(out, "cost_tokens", service.cost_tokens);
        std::vector<std::string> rules;
        for (const route_rule& rule : service.not_repeatable) {
            rules.push_back(rule.method + (rule.path_prefix.empty() ? "" : " ") + rule.path_prefix);
        }
        list(out, "not_repeatable", rules);
    }
    field(out, "access", service.access == service_access::keyed ? "keyed" : "open");
    emit_dependencies(out, service.depends_on);
    field(out, "request_timeout_ms", service.request_timeout.count());
    out << YAML::EndMap;
}

void emit(YAML::Emitter& out, const backend_server_spec& server) {
    out << YAML::BeginMap;
    field(out, "name", server.name);
    field(out, "address", server.address);
    field(out, "data_centre", server.data_centre);
    if (server.kind == backend_kind::engine) {
        field(out, "kind", "engine");
        field(out, "model", server.model);
        field(out, "slots", server.slots);
    } else {
        field(out, "kind", "plain");
        list(out, "services", server.services);
    }
    field(out, "checks_fencing", server.checks_fencing);
    field(out, "checks_caller", server.checks_caller);
    out << YAML::EndMap;
}

template <typename T>
void emit_all(YAML::Emitter& out, const char* name, const std::vector<T>& items) {
    out << YAML::Key << name << YAML::Value << YAML::BeginSeq;
    for (const T& each : items) {
        emit(out, each);
    }
    out << YAML::EndSeq;
}

void emit_limits(YAML::Emitter& out, const operators_statement& text) {
    constexpr std::int64_t ms_per_s = 1000;
    out << YAML::Key << "store" << YAML::Value << YAML::BeginMap;
    field(out, "loads_per_s", text.store.loads_per_s);
    field(out, "load_ms", text.store.load_time.count());
    field(out, "parallel_loads", text.store.parallel_loads);
    out << YAML::EndMap;
    out << YAML::Key << "requests" << YAML::Value << YAML::BeginMap;
    field(out, "max_body_bytes", text.requests.max_body_bytes);
    field(out, "max_tokens", text.requests.max_tokens);
    field(out, "default_max_tokens", text.requests.default_max_tokens);
    field(out, "record_retention_s", text.requests.record_retention.count() / ms_per_s);
    out << YAML::EndMap;
}

} // namespace

std::string to_yaml(const operators_text& text) {
    YAML::Emitter out;
    out << YAML::BeginMap;
    field(out, "format", text_format);
    field(out, "deployment", text.deployment());
    field(out, "weigh",
          text.weigh() == deployment_weight::load_stalls ? "load_stalls" : "fairness");
    emit_limits(out, text.statement());
    emit_all(out, "client_accounts", text.client_accounts());
    emit_all(out, "models", text.models());
    out << YAML::Key << "adapters" << YAML::Value << YAML::BeginSeq;
    text.adapters().for_each([&](const adapter_spec& adapter) { emit(out, adapter); });
    out << YAML::EndSeq;
    emit_all(out, "services", text.services());
    emit_all(out, "backend_servers", text.backend_servers());
    out << YAML::EndMap;
    return std::string(out.c_str(), out.size()) + '\n';
}

} // namespace camphorgrade::config
