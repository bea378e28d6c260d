#include <serving/service_catalogue.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

catalogue_index::catalogue_index(service_catalogue catalogue) : catalogue_(std::move(catalogue)) {
    for (const auto& each : catalogue_.routes) {
        by_host_[each.host].push_back(&each);
    }
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](const route* a, const route* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
    }
    for (const auto& each : catalogue_.services) {
        by_name_[each.name] = &each;
    }
    for (const auto& each : catalogue_.accounts) {
        for (const auto& key : each.keys) {
            by_key_[key] = &each;
        }
    }
}

const route* catalogue_index::find_route(std::string_view host, std::string_view path) const {
    const auto found = by_host_.find(host);
    if (found == by_host_.end()) {
        return nullptr;
    }
    const auto& routes = found->second;
    const auto match = std::find_if(routes.begin(), routes.end(), [&](const route* each) {
        return path.substr(0, each->path_prefix.size()) == each->path_prefix;
    });
    return match == routes.end() ? nullptr : *match;
}

const service* catalogue_index::find_service(std::string_view name) const {
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
}

const client_account* catalogue_index::find_account(std::string_view key) const {
    const auto found = by_key_.find(key);
    return found == by_key_.end() ? nullptr : found->second;
}

} // namespace camphorgrade::serving
