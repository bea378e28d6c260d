#pragma once

#include <delivery/refusal.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace camphorgrade::gateway {

/** Bounds on a request to a model. */
struct completion_limits {
    std::uint64_t max_tokens_cap = 4'096;   /**< Most tokens a request may ask for. */
    std::uint64_t default_max_tokens = 256; /**< When the request names none. */

    friend bool operator==(const completion_limits&, const completion_limits&) = default;
};

/** A checked request to /v1/completions or /v1/chat/completions. A value type. */
struct completion_request {
    std::string model; /**< adapter or adapter@version, as the caller wrote it. */
    bool stream = false;
    std::uint64_t prompt_tokens = 0; /**< Estimate. */
    std::uint64_t max_tokens = 0;

    friend bool operator==(const completion_request&, const completion_request&) = default;
};

/**
 * Checks the body of a completion request. `chat` tells which of the two routes it came by.
 * Never throws. Thread safe.
 */
std::variant<completion_request, delivery::refusal>
parse_completion_request(const std::string& body, bool chat, const completion_limits& limits);

/**
 * The body to send to the engine: the caller's, with the adapter's full name and the checked
 * max_tokens. Precondition: parse_completion_request() accepted `body`. Thread safe.
 */
std::string engine_body(const std::string& body, const std::string& adapter,
                        std::uint64_t max_tokens);

} // namespace camphorgrade::gateway
