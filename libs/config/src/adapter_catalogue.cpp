#include <config/adapter_catalogue.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::config {

std::string to_string(const adapter_ref& adapter) {
    return adapter.name + '@' + adapter.version;
}

adapter_catalogue::adapter_catalogue(std::vector<adapter_spec> adapters)
    : adapters_(std::move(adapters)) {
    std::sort(adapters_.begin(), adapters_.end(),
              [](const auto& a, const auto& b) { return a.name < b.name; });
    CAMPHOR_PRECONDITION(
        std::adjacent_find(adapters_.begin(), adapters_.end(), [](const auto& a, const auto& b) {
            return a.name == b.name;
        }) == adapters_.end());
}

std::optional<adapter_spec> adapter_catalogue::find(std::string_view name) const {
    const auto found = std::lower_bound(
        adapters_.begin(), adapters_.end(), name,
        [](const adapter_spec& each, std::string_view wanted) { return each.name < wanted; });
    if (found == adapters_.end() || found->name != name) {
        return std::nullopt;
    }
    return *found;
}

std::optional<adapter_ref> adapter_catalogue::resolve(std::string_view spelled) const {
    const std::size_t at = spelled.find('@');
    const auto adapter = find(spelled.substr(0, at));
    if (!adapter) {
        return std::nullopt;
    }
    if (at == std::string_view::npos) {
        return adapter_ref{adapter->name, adapter->default_version};
    }
    const auto& versions = adapter->versions;
    const auto version = std::find(versions.begin(), versions.end(), spelled.substr(at + 1));
    if (version == versions.end()) {
        return std::nullopt;
    }
    return adapter_ref{adapter->name, *version};
}

void adapter_catalogue::for_each(const std::function<void(const adapter_spec&)>& visit) const {
    for (const adapter_spec& each : adapters_) {
        visit(each);
    }
}

} // namespace camphorgrade::config
