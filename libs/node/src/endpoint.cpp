#include <node/endpoint.h>

#include <charconv>

namespace camphorgrade {

std::optional<http_endpoint> parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    http_endpoint endpoint;
    endpoint.host = text.substr(0, colon);
    const char* const begin = text.data() + colon + 1;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(begin, end, endpoint.port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || begin == end) {
        return std::nullopt;
    }
    return endpoint;
}

} // namespace camphorgrade
