#pragma once

#include <delivery/refusal.h>
#include <kernel/http_types.h>

#include <optional>
#include <string>
#include <variant>

namespace camphorgrade::gateway {

/** What a caller's request asks for. */
enum class route_kind { completion, chat_completion, list_models, plain_service };

/** Where a caller's request goes. A value type. */
struct route {
    route_kind kind = route_kind::completion;
    std::string service;      /**< Plain services: its name. */
    std::string service_path; /**< Plain services: what follows the name; begins with '/'. */

    friend bool operator==(const route&, const route&) = default;
};

/** Finds the route of a request, or why there is none. Thread safe. */
std::variant<route, delivery::refusal> find_route(const http_request& request);

/**
 * The key that came with a request; nullopt without an Authorization header; a delivery::refusal
 * when it is given twice or is no bearer key. Thread safe.
 */
std::variant<std::optional<std::string>, delivery::refusal>
presented_key(const http_headers& headers);

/** The headers that a backend server may see: none that can carry a key. Thread safe. */
http_headers forwarded_headers(const http_headers& headers);

} // namespace camphorgrade::gateway
