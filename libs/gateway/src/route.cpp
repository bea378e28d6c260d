#include <gateway/route.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace camphorgrade::gateway {

namespace {

constexpr std::string_view services_prefix = "/services/";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t max_key_bytes = 256;

constexpr std::array<const char*, 6> plain_methods{"GET", "HEAD", "POST", "DELETE", "PATCH", "PUT"};
constexpr std::array<const char*, 4> passed_on{"Content-Type", "Accept", "Accept-Language",
                                               "Idempotency-Key"};

std::variant<route, delivery::refusal> plain_route(const http_request& request) {
    const bool known = std::any_of(plain_methods.begin(), plain_methods.end(),
                                   [&](const char* each) { return request.method == each; });
    if (!known) {
        return delivery::not_run(delivery::refusal_type::method_not_allowed);
    }
    const std::string rest = request.path.substr(services_prefix.size());
    const auto slash = rest.find('/');
    const std::string name = rest.substr(0, slash);
    if (name.empty()) {
        return delivery::not_run(delivery::refusal_type::unknown_service);
    }
    const std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (path.find("/..") != std::string::npos || path.find("/./") != std::string::npos) {
        return delivery::not_run(delivery::refusal_type::malformed_request);
    }
    return route{route_kind::plain_service, name, path};
}

std::variant<route, delivery::refusal> only(const http_request& request, const char* method,
                                            route_kind kind) {
    if (request.method != method) {
        return delivery::not_run(delivery::refusal_type::method_not_allowed);
    }
    return route{kind, {}, {}};
}

} // namespace

std::variant<route, delivery::refusal> find_route(const http_request& request) {
    if (request.path == "/v1/completions") {
        return only(request, "POST", route_kind::completion);
    }
    if (request.path == "/v1/chat/completions") {
        return only(request, "POST", route_kind::chat_completion);
    }
    if (request.path == "/v1/models") {
        return only(request, "GET", route_kind::list_models);
    }
    if (request.path.starts_with(services_prefix)) {
        return plain_route(request);
    }
    return delivery::not_run(delivery::refusal_type::unknown_route);
}

std::variant<std::optional<std::string>, delivery::refusal>
presented_key(const http_headers& headers) {
    const auto count = count_headers(headers, "Authorization");
    if (count == 0) {
        return std::optional<std::string>{};
    }
    const std::string value = *find_header(headers, "Authorization");
    const bool is_bearer = value.starts_with(bearer_prefix);
    if (count > 1 || !is_bearer || value.size() > bearer_prefix.size() + max_key_bytes) {
        return delivery::not_run(delivery::refusal_type::invalid_key);
    }
    return std::optional<std::string>{value.substr(bearer_prefix.size())};
}

http_headers forwarded_headers(const http_headers& headers) {
    http_headers passed;
    for (const char* name : passed_on) {
        const auto value = find_header(headers, name);
        if (value) {
            passed.push_back({name, *value});
        }
    }
    return passed;
}

} // namespace camphorgrade::gateway
