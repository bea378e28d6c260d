#include <edge/header_rules.h>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <ostream>

namespace camphorgrade::edge {

namespace {

constexpr std::array<std::string_view, 10> hop_by_hop_headers{"Connection",
                                                              "Keep-Alive",
                                                              "Proxy-Authenticate",
                                                              "Proxy-Authorization",
                                                              "Proxy-Connection",
                                                              "TE",
                                                              "Trailer",
                                                              "Transfer-Encoding",
                                                              "Upgrade",
                                                              "Content-Length"};

bool is_hop_by_hop(std::string_view name) {
    return std::any_of(hop_by_hop_headers.begin(), hop_by_hop_headers.end(),
                       [&](std::string_view each) { return same_header_name(each, name); });
}

bool named_by_connection(const http_headers& headers, std::string_view name) {
    return std::any_of(headers.begin(), headers.end(), [&](const http_header& each) {
        return same_header_name(each.name, "Connection") && lists_token(each.value, name);
    });
}

} // namespace

bool same_header_name(std::string_view a, std::string_view b) noexcept {
    return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool lists_token(std::string_view value, std::string_view token) noexcept {
    return boost::beast::http::token_list{{value.data(), value.size()}}.exists(
        {token.data(), token.size()});
}

http_headers end_to_end_headers(const http_headers& headers) {
    http_headers forwarded;
    forwarded.reserve(headers.size());
    for (const auto& each : headers) {
        if (!is_hop_by_hop(each.name) && !named_by_connection(headers, each.name)) {
            forwarded.push_back(each);
        }
    }
    return forwarded;
}

std::string_view reason_phrase(int status) noexcept {
    const auto phrase =
        boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {phrase.data(), phrase.size()};
}

} // namespace camphorgrade::edge
