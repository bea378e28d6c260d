#include "fleet.h"

#include <nlohmann/json.hpp>

namespace camphorgrade::ctl {

std::optional<process_report> parse_report(const std::string& json) {
    const auto parsed = nlohmann::json::parse(json, nullptr, false);
    const auto at = [&](const char* section, const char* field) -> nlohmann::json {
        const auto found = parsed.is_object() ? parsed.find(section) : parsed.end();
        return found != parsed.end() && found->is_object() ? found->value(field, nlohmann::json())
                                                           : nlohmann::json();
    };
    const auto node = at("node", "address");
    const auto revision = at("configuration", "revision");
    const auto newest = at("configuration", "newest_heard");
    if (!node.is_string() || !revision.is_number_unsigned()) {
        return std::nullopt;
    }
    return process_report{node.get<std::string>(), revision.get<std::uint64_t>(),
                          newest.is_number_unsigned() ? newest.get<std::uint64_t>() : 0,
                          at("configuration", "refused_revision").is_number(), json};
}

} // namespace camphorgrade::ctl
