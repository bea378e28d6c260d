#include "consistency.h"

#include "yaml_reader.h"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_set>

namespace camphorgrade::config {
namespace {

constexpr std::size_t max_versions = 256;

using fault_vector = std::vector<config_fault>;

std::string item_path(std::string_view list, std::size_t index) {
    return std::string(list) + '[' + std::to_string(index) + ']';
}

void add(fault_vector& faults, config_fault_kind kind, std::string path, std::string detail) {
    faults.push_back({kind, 0, 0, std::move(path), std::move(detail)});
}

template <typename T>
std::set<std::string> unique_names(const std::vector<T>& items, std::string_view list,
                                   fault_vector& faults) {
    std::set<std::string> names;
    for (std::size_t i = 0; i < items.size(); ++i) {
        if (!is_name(items[i].name)) {
            add(faults, config_fault_kind::bad_name, item_path(list, i) + ".name", items[i].name);
        } else if (!names.insert(items[i].name).second) {
            add(faults, config_fault_kind::duplicate, item_path(list, i) + ".name", items[i].name);
        }
    }
    return names;
}

/** Checks the references of services and backend servers. */
class reference_check {
public:
    reference_check(const operators_statement& statement, const adapter_finder& find_adapter,
                    fault_vector& faults)
        : statement_(&statement), find_adapter_(&find_adapter), faults_(&faults) {
        unique_names(statement.client_accounts, "client_accounts", faults);
        models_ = unique_names(statement.models, "models", faults);
        services_ = unique_names(statement.services, "services", faults);
        unique_names(statement.backend_servers, "backend_servers", faults);
    }

    void run() {
        for (std::size_t i = 0; i < statement_->services.size(); ++i) {
            check_service(statement_->services[i], item_path("services", i));
        }
        for (std::size_t i = 0; i < statement_->backend_servers.size(); ++i) {
            check_server(statement_->backend_servers[i], item_path("backend_servers", i));
        }
        check_addresses();
    }

private:
    void dangling(const std::string& path, std::string_view what, const std::string& name) {
        add(*faults_, config_fault_kind::dangling_dependency, path,
            "there is no " + std::string(what) + " '" + name + "'");
    }

    void check_model(const std::string& model, const std::string& path) {
        if (!model.empty() && !models_.contains(model)) {
            dangling(path, "model", model);
        }
    }

    void check_service(const service_spec& service, const std::string& path) {
        if (service.kind == service_kind::model) {
            check_model(service.model, path + ".model");
        }
        for (std::size_t i = 0; i < service.adapters.size(); ++i) {
            const std::string at = item_path(path + ".adapters", i);
            const auto adapter = (*find_adapter_)(service.adapters[i]);
            if (!adapter) {
                dangling(at, "adapter", service.adapters[i]);
            } else if (adapter->model != service.model) {
                add(*faults_, config_fault_kind::conflict, at,
                    "the adapter belongs to model '" + adapter->model + "'");
            }
        }
        for (std::size_t i = 0; i < service.depends_on.size(); ++i) {
            check_dependency(service, i, item_path(path + ".depends_on", i));
        }
    }

    void check_dependency(const service_spec& service, std::size_t index, const std::string& path) {
        const dependency& needed = service.depends_on[index];
        const auto begin = service.depends_on.begin();
        const auto here = begin + static_cast<std::ptrdiff_t>(index);
        if (std::find(begin, here, needed) != here) {
            add(*faults_, config_fault_kind::duplicate, path, needed.name);
        }
        switch (needed.kind) {
        case dependency_kind::service:
            if (!services_.contains(needed.name)) {
                dangling(path + ".service", "service", needed.name);
            }
            break;
        case dependency_kind::model:
            check_model(needed.name, path + ".model");
            break;
        case dependency_kind::adapter:
            if (!(*find_adapter_)(needed.name)) {
                dangling(path + ".adapter", "adapter", needed.name);
            }
            break;
        }
    }

    void check_server(const backend_server_spec& server, const std::string& path) {
        if (server.kind == backend_kind::engine) {
            check_model(server.model, path + ".model");
        }
        for (std::size_t i = 0; i < server.services.size(); ++i) {
            const std::string at = item_path(path + ".services", i);
            const std::string& name = server.services[i];
            const auto& all = statement_->services;
            const auto found = std::find_if(all.begin(), all.end(),
                                            [&](const auto& each) { return each.name == name; });
            if (found == all.end()) {
                dangling(at, "service", name);
            } else if (found->kind != service_kind::plain) {
                add(*faults_, config_fault_kind::conflict, at,
                    "'" + name + "' is not a plain service");
            }
        }
    }

    void check_addresses() {
        std::set<std::string> seen;
        const auto& servers = statement_->backend_servers;
        for (std::size_t i = 0; i < servers.size(); ++i) {
            if (!seen.insert(servers[i].address).second) {
                add(*faults_, config_fault_kind::duplicate,
                    item_path("backend_servers", i) + ".address", servers[i].address);
            }
        }
    }

    const operators_statement* statement_;
    const adapter_finder* find_adapter_;
    fault_vector* faults_;
    std::set<std::string> models_;
    std::set<std::string> services_;
};

/** Finds services that depend on themselves by way of others, each cycle once. */
class cycle_check {
public:
    cycle_check(const operators_statement& statement, fault_vector& faults)
        : statement_(&statement), faults_(&faults) {
        for (std::size_t i = 0; i < statement.services.size(); ++i) {
            index_.emplace(statement.services[i].name, i);
        }
    }

    /** Depth first without recursion: a chain may be as long as the text. */
    void run() {
        std::vector<state> states(statement_->services.size(), state::unseen);
        for (std::size_t root = 0; root < states.size(); ++root) {
            if (states[root] == state::unseen) {
                walk(root, states);
            }
        }
    }

private:
    enum class state { unseen, open, done };
    struct visit {
        std::size_t service;
        std::size_t next_dependency;
    };

    void walk(std::size_t root, std::vector<state>& states) {
        std::vector<visit> path{{root, 0}};
        states[root] = state::open;
        while (!path.empty()) {
            visit& here = path.back();
            const auto& dependencies = statement_->services[here.service].depends_on;
            if (here.next_dependency == dependencies.size()) {
                states[here.service] = state::done;
                path.pop_back();
                continue;
            }
            const std::size_t at = here.next_dependency++;
            const dependency& needed = dependencies[at];
            const auto target = index_.find(needed.name);
            if (needed.kind != dependency_kind::service || target == index_.end()) {
                continue;
            }
            if (states[target->second] == state::open) {
                report(path, target->second, at);
            } else if (states[target->second] == state::unseen) {
                states[target->second] = state::open;
                path.push_back({target->second, 0});
            }
        }
    }

    void report(const std::vector<visit>& path, std::size_t first, std::size_t dependency) {
        const auto begin = std::find_if(path.begin(), path.end(),
                                        [&](const visit& each) { return each.service == first; });
        std::string circle;
        for (auto each = begin; each != path.end(); ++each) {
            circle += statement_->services[each->service].name + " -> ";
        }
        add(*faults_, config_fault_kind::dependency_cycle,
            item_path(item_path("services", path.back().service) + ".depends_on", dependency),
            circle + statement_->services[first].name);
    }

    const operators_statement* statement_;
    fault_vector* faults_;
    std::map<std::string, std::size_t> index_;
};

/** An adapter must belong to one service only, or a request for it would be ambiguous. */
void check_adapter_services(const operators_statement& statement, fault_vector& faults) {
    const auto& services = statement.services;
    const auto overlap = [](const service_spec& a, const service_spec& b) {
        if (a.all_adapters || b.all_adapters) {
            return true;
        }
        return std::any_of(a.adapters.begin(), a.adapters.end(), [&](const auto& name) {
            return std::find(b.adapters.begin(), b.adapters.end(), name) != b.adapters.end();
        });
    };
    for (std::size_t i = 0; i < services.size(); ++i) {
        for (std::size_t j = 0; j < i; ++j) {
            const bool same = services[i].kind == service_kind::model &&
                              services[j].kind == service_kind::model &&
                              services[i].model == services[j].model;
            if (same && overlap(services[i], services[j])) {
                add(faults, config_fault_kind::conflict, item_path("services", i),
                    "serves adapters that service '" + services[j].name + "' serves too");
            }
        }
    }
}

} // namespace

std::vector<config_fault> check_adapters(const operators_statement& statement,
                                         const std::vector<adapter_spec>& adapters) {
    fault_vector faults;
    std::set<std::string> models;
    for (const model_spec& model : statement.models) {
        models.insert(model.name);
    }
    std::unordered_set<std::string_view> names;
    for (std::size_t i = 0; i < adapters.size(); ++i) {
        const adapter_spec& adapter = adapters[i];
        if (!is_name(adapter.name)) {
            add(faults, config_fault_kind::bad_name, item_path("adapters", i) + ".name",
                adapter.name);
        } else if (!names.insert(adapter.name).second) {
            add(faults, config_fault_kind::duplicate, item_path("adapters", i) + ".name",
                adapter.name);
        }
        if (!models.contains(adapter.model)) {
            add(faults, config_fault_kind::dangling_dependency, item_path("adapters", i) + ".model",
                "there is no model '" + adapter.model + "'");
        }
        const auto& versions = adapter.versions;
        if (versions.empty() || versions.size() > max_versions) {
            add(faults, config_fault_kind::out_of_bounds, item_path("adapters", i) + ".versions",
                "expected 1 to " + std::to_string(max_versions) + " versions");
        } else if (std::find(versions.begin(), versions.end(), adapter.default_version) ==
                   versions.end()) {
            add(faults, config_fault_kind::dangling_dependency,
                item_path("adapters", i) + ".default_version",
                "there is no version '" + adapter.default_version + "'");
        }
    }
    return faults;
}

std::vector<config_fault> check_statement(const operators_statement& statement,
                                          const adapter_finder& find_adapter) {
    fault_vector faults;
    reference_check(statement, find_adapter, faults).run();
    cycle_check(statement, faults).run();
    check_adapter_services(statement, faults);
    if (statement.requests.default_max_tokens > statement.requests.max_tokens) {
        add(faults, config_fault_kind::conflict, "requests.default_max_tokens",
            "is above max_tokens");
    }
    return faults;
}

} // namespace camphorgrade::config
