#include <serving/software_versions.h>

namespace camphorgrade::serving {

void software_versions::observe(const backend_registry& backends, time_point now) {
    for (const auto& [id, view] : backends.all()) {
        if (!view.is_removed) {
            seen_[view.server.service][view.server.software_version] = now;
        }
    }
    for (auto& [service, versions] : seen_) {
        std::erase_if(versions, [&](const auto& each) { return now - each.second >= memory_; });
    }
    std::erase_if(seen_, [](const auto& each) { return each.second.empty(); });
}

std::set<std::string> software_versions::of_service(const std::string& service) const {
    std::set<std::string> out;
    const auto found = seen_.find(service);
    if (found != seen_.end()) {
        for (const auto& each : found->second) {
            out.insert(each.first);
        }
    }
    return out;
}

std::set<std::string> software_versions::mixed_services() const {
    std::set<std::string> out;
    for (const auto& [service, versions] : seen_) {
        if (versions.size() > 1) {
            out.insert(service);
        }
    }
    return out;
}

} // namespace camphorgrade::serving
