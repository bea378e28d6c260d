#include <kernel/http_types.h>

#include <algorithm>
#include <cctype>

namespace camphorgrade {

namespace {

bool equals_ignoring_case(const std::string& left, const std::string& right) {
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) ==
               std::tolower(static_cast<unsigned char>(b));
    });
}

} // namespace

std::optional<std::string> find_header(const http_headers& headers, const std::string& name) {
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const http_header& header) {
        return equals_ignoring_case(header.name, name);
    });
    if (found == headers.end()) {
        return std::nullopt;
    }
    return found->value;
}

std::size_t count_headers(const http_headers& headers, const std::string& name) {
    return static_cast<std::size_t>(
        std::count_if(headers.begin(), headers.end(), [&](const http_header& header) {
            return equals_ignoring_case(header.name, name);
        }));
}

} // namespace camphorgrade
