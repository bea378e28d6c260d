#include <config/specs.h>

#include <algorithm>

namespace camphorgrade::config {
namespace {

bool begins_with_segments(std::string_view path, std::string_view prefix) {
    if (!path.starts_with(prefix)) {
        return false;
    }
    return prefix.empty() || prefix.back() == '/' || path.size() == prefix.size() ||
           path[prefix.size()] == '/';
}

} // namespace

bool service_spec::repeatable(std::string_view method, std::string_view path) const {
    return std::none_of(not_repeatable.begin(), not_repeatable.end(), [&](const route_rule& rule) {
        return rule.method == method && begins_with_segments(path, rule.path_prefix);
    });
}

} // namespace camphorgrade::config
