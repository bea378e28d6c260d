#include <config/operators_text.h>

#include "consistency.h"

#include <algorithm>

namespace camphorgrade::config {
namespace {

template <typename T>
void sort_by_name(std::vector<T>& items) {
    std::sort(items.begin(), items.end(), [](const T& a, const T& b) { return a.name < b.name; });
}

template <typename T>
const T* find_by_name(const std::vector<T>& items, std::string_view name) {
    const auto found =
        std::lower_bound(items.begin(), items.end(), name,
                         [](const T& each, std::string_view wanted) { return each.name < wanted; });
    return found != items.end() && found->name == name ? &*found : nullptr;
}

void normalise(operators_statement& statement) {
    sort_by_name(statement.client_accounts);
    sort_by_name(statement.models);
    sort_by_name(statement.services);
    sort_by_name(statement.backend_servers);
    for (service_spec& service : statement.services) {
        std::sort(service.adapters.begin(), service.adapters.end());
        std::sort(service.depends_on.begin(), service.depends_on.end());
        std::sort(service.not_repeatable.begin(), service.not_repeatable.end());
    }
    for (backend_server_spec& server : statement.backend_servers) {
        std::sort(server.services.begin(), server.services.end());
    }
}

void check_catalogue_models(const operators_statement& statement, const adapter_catalogue& adapters,
                            std::vector<config_fault>& faults) {
    for (const auto& chunk : adapters.chunks()) {
        for (const std::string& model : chunk->models()) {
            const auto& known = statement.models;
            if (std::none_of(known.begin(), known.end(),
                             [&](const auto& each) { return each.name == model; })) {
                faults.push_back({config_fault_kind::dangling_dependency, 0, 0, "adapters",
                                  "there is no model '" + model + "'"});
            }
        }
    }
}

} // namespace

operators_text::operators_text(operators_statement statement, adapter_catalogue adapters)
    : statement_(std::move(statement)), adapters_(std::move(adapters)) {}

parse_result<operators_text> operators_text::create(operators_statement statement,
                                                    std::vector<adapter_spec> adapters) {
    std::vector<config_fault> faults = check_adapters(statement, adapters);
    if (!faults.empty()) {
        sort_by_name(adapters);
        const auto others = check_statement(statement, [&](std::string_view name) {
            const adapter_spec* found = find_by_name(adapters, name);
            return found == nullptr ? std::nullopt : std::optional(*found);
        });
        faults.insert(faults.end(), others.begin(), others.end());
        return faults;
    }
    return create(std::move(statement), adapter_catalogue(std::move(adapters)));
}

parse_result<operators_text> operators_text::create(operators_statement statement,
                                                    adapter_catalogue adapters) {
    std::vector<config_fault> faults =
        check_statement(statement, [&](std::string_view name) { return adapters.find(name); });
    check_catalogue_models(statement, adapters, faults);
    if (!faults.empty()) {
        return faults;
    }
    normalise(statement);
    return operators_text(std::move(statement), std::move(adapters));
}

const client_account_spec* operators_text::find_client_account(std::string_view name) const {
    return find_by_name(statement_.client_accounts, name);
}

const model_spec* operators_text::find_model(std::string_view name) const {
    return find_by_name(statement_.models, name);
}

const service_spec* operators_text::find_service(std::string_view name) const {
    return find_by_name(statement_.services, name);
}

const backend_server_spec* operators_text::find_backend_server(std::string_view name) const {
    return find_by_name(statement_.backend_servers, name);
}

const service_spec* operators_text::service_of_adapter(std::string_view adapter) const {
    const auto found = adapters_.find(adapter);
    if (!found) {
        return nullptr;
    }
    for (const service_spec& service : statement_.services) {
        const bool same_model =
            service.kind == service_kind::model && service.model == found->model;
        const auto& chosen = service.adapters;
        if (same_model && (service.all_adapters ||
                           std::binary_search(chosen.begin(), chosen.end(), found->name))) {
            return &service;
        }
    }
    return nullptr;
}

} // namespace camphorgrade::config
