#include <config/availability.h>

#include <kernel/check.h>

#include <array>

namespace camphorgrade::config {
namespace {

using state_map = std::map<std::string, bool, std::less<>>;

std::optional<unavailability> look_up(const state_map& states, std::string_view name) {
    const auto found = states.find(name);
    if (found == states.end()) {
        return unavailability{unavailable_reason::no_backend_server, {}};
    }
    return found->second ? std::nullopt
                         : std::optional(unavailability{unavailable_reason::all_down, {}});
}

/** Services so that each comes after those it depends on; the text has no cycle. */
std::vector<const service_spec*> in_dependency_order(const operators_text& text) {
    std::map<std::string_view, std::size_t> open;
    std::map<std::string_view, std::vector<const service_spec*>> dependents;
    std::vector<const service_spec*> order;
    for (const service_spec& service : text.services()) {
        std::size_t count = 0;
        for (const dependency& needed : service.depends_on) {
            if (needed.kind == dependency_kind::service) {
                dependents[needed.name].push_back(&service);
                ++count;
            }
        }
        open[service.name] = count;
        if (count == 0) {
            order.push_back(&service);
        }
    }
    for (std::size_t next = 0; next < order.size(); ++next) {
        for (const service_spec* dependent : dependents[order[next]->name]) {
            if (--open[dependent->name] == 0) {
                order.push_back(dependent);
            }
        }
    }
    CAMPHOR_INVARIANT(order.size() == text.services().size());
    return order;
}

} // namespace

std::string to_string(const unavailability& why) {
    static constexpr std::array<const char*, 2> reasons{"no_backend_server", "all_down"};
    static constexpr std::array<const char*, 3> kinds{"service ", "model ", "adapter "};
    std::string text = reasons.at(static_cast<std::size_t>(why.reason));
    const char* separator = ": ";
    for (const dependency& each : why.chain) {
        text += separator;
        text += kinds.at(static_cast<std::size_t>(each.kind)) + each.name;
        separator = ", ";
    }
    return text;
}

dependency_view::dependency_view(const operators_text& text, const backend_liveness& liveness) {
    for (const backend_server_spec& server : text.backend_servers()) {
        const bool up = liveness.is_up(server);
        if (server.kind == backend_kind::engine) {
            models_[server.model] = models_[server.model] || up;
        }
        for (const std::string& service : server.services) {
            services_[service] = services_[service] || up;
        }
    }
    for (const service_spec* service : in_dependency_order(text)) {
        std::optional<unavailability> why = check_own(*service);
        for (const dependency& needed : service->depends_on) {
            if (why) {
                break;
            }
            why = check(text, needed);
        }
        known_[service->name] = !why;
        if (why) {
            unavailable_.emplace(service->name, std::move(*why));
        }
    }
}

std::optional<unavailability> dependency_view::check_own(const service_spec& service) const {
    if (service.kind == service_kind::plain) {
        return look_up(services_, service.name);
    }
    auto why = look_up(models_, service.model);
    if (why) {
        why->chain = {{dependency_kind::model, service.model}};
    }
    return why;
}

std::optional<unavailability> dependency_view::check(const operators_text& text,
                                                     const dependency& needed) const {
    std::optional<unavailability> why;
    switch (needed.kind) {
    case dependency_kind::service:
        if (const auto found = unavailable_.find(needed.name); found != unavailable_.end()) {
            why = found->second;
        }
        break;
    case dependency_kind::model:
        why = look_up(models_, needed.name);
        break;
    case dependency_kind::adapter: {
        const auto adapter = text.find_adapter(needed.name);
        CAMPHOR_INVARIANT(adapter.has_value());
        why = look_up(models_, adapter->model);
        if (why) {
            why->chain = {{dependency_kind::model, adapter->model}};
        }
        break;
    }
    }
    if (why) {
        why->chain.insert(why->chain.begin(), needed);
    }
    return why;
}

const unavailability* dependency_view::why_unavailable(std::string_view service) const {
    CAMPHOR_PRECONDITION(known_.contains(service));
    const auto found = unavailable_.find(service);
    return found == unavailable_.end() ? nullptr : &found->second;
}

} // namespace camphorgrade::config
