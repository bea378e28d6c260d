#include <config/diff.h>

#include <array>

namespace camphorgrade::config {
namespace {

/** Walks two lists in name order side by side. */
template <typename T>
void diff_lists(text_part part, const std::vector<T>& from, const std::vector<T>& to,
                std::vector<text_change>& changes) {
    auto old_item = from.begin();
    auto new_item = to.begin();
    while (old_item != from.end() || new_item != to.end()) {
        if (new_item == to.end() || (old_item != from.end() && old_item->name < new_item->name)) {
            changes.push_back({part, change_kind::removed, (old_item++)->name});
        } else if (old_item == from.end() || new_item->name < old_item->name) {
            changes.push_back({part, change_kind::added, (new_item++)->name});
        } else {
            if (*old_item != *new_item) {
                changes.push_back({part, change_kind::changed, new_item->name});
            }
            ++old_item;
            ++new_item;
        }
    }
}

std::vector<adapter_spec> list_adapters(const adapter_catalogue& catalogue) {
    std::vector<adapter_spec> adapters;
    adapters.reserve(catalogue.size());
    catalogue.for_each([&](const adapter_spec& each) { adapters.push_back(each); });
    return adapters;
}

} // namespace

std::vector<text_change> diff(const operators_text& from, const operators_text& to) {
    std::vector<text_change> changes;
    const auto single = [&](text_part part, const auto& old_value, const auto& new_value) {
        if (old_value != new_value) {
            changes.push_back({part, change_kind::changed, ""});
        }
    };
    single(text_part::deployment, from.deployment(), to.deployment());
    single(text_part::weigh, from.weigh(), to.weigh());
    single(text_part::store, from.store(), to.store());
    single(text_part::requests, from.requests(), to.requests());
    diff_lists(text_part::client_account, from.client_accounts(), to.client_accounts(), changes);
    diff_lists(text_part::model, from.models(), to.models(), changes);
    if (from.adapters() != to.adapters()) {
        diff_lists(text_part::adapter, list_adapters(from.adapters()), list_adapters(to.adapters()),
                   changes);
    }
    diff_lists(text_part::service, from.services(), to.services(), changes);
    diff_lists(text_part::backend_server, from.backend_servers(), to.backend_servers(), changes);
    return changes;
}

std::string to_string(const text_change& change) {
    static constexpr std::array<const char*, 9> parts{
        "deployment", "weigh",   "store",   "requests",      "client_account",
        "model",      "adapter", "service", "backend_server"};
    static constexpr std::array<const char*, 3> kinds{"added", "removed", "changed"};
    std::string text = kinds.at(static_cast<std::size_t>(change.kind));
    text += std::string(" ") + parts.at(static_cast<std::size_t>(change.part));
    return change.name.empty() ? text : text + ' ' + change.name;
}

} // namespace camphorgrade::config
