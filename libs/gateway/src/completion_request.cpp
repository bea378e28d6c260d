#include <gateway/completion_request.h>

#include <kernel/check.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>

namespace camphorgrade::gateway {

namespace {

using nlohmann::json;

constexpr std::size_t max_nesting = 32;
constexpr std::uint64_t bytes_per_token = 4;
constexpr std::size_t max_model_name_bytes = 512;

/** Refuses deep nesting before the parser recurses into it. */
bool nests_too_deeply(const std::string& body) {
    std::size_t depth = 0;
    bool in_string = false;
    bool escaped = false;
    for (const char c : body) {
        if (in_string) {
            if (!escaped && c == '"') {
                in_string = false;
            }
            escaped = !escaped && c == '\\';
        } else if (c == '"') {
            in_string = true;
        } else if (c == '{' || c == '[') {
            if (++depth > max_nesting) {
                return true;
            }
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
    }
    return false;
}

std::optional<json> parse_object(const std::string& body) {
    if (nests_too_deeply(body)) {
        return std::nullopt;
    }
    json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    return parsed;
}

/** Bytes of text in a completion prompt; nullopt when it is not one string. */
std::optional<std::size_t> prompt_bytes(const json& body) {
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string()) {
        return std::nullopt;
    }
    return prompt->get_ref<const std::string&>().size();
}

/** Bytes of text in a chat's messages; nullopt when they are malformed. */
std::optional<std::size_t> message_bytes(const json& body) {
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty()) {
        return std::nullopt;
    }
    std::size_t total = 0;
    for (const auto& each : *messages) {
        if (!each.is_object() || !each.contains("role") || !each["role"].is_string() ||
            !each.contains("content") || !each["content"].is_string()) {
            return std::nullopt;
        }
        total += each["content"].get_ref<const std::string&>().size();
    }
    return total;
}

/** The wanted max_tokens; nullopt when it is not a number from 1 to the cap. */
std::optional<std::uint64_t> wanted_tokens(const json& body, const completion_limits& limits) {
    const auto wanted = body.find("max_tokens");
    if (wanted == body.end()) {
        return std::min(limits.default_max_tokens, limits.max_tokens_cap);
    }
    if (!wanted->is_number_unsigned()) {
        return std::nullopt;
    }
    const auto count = wanted->get<std::uint64_t>();
    if (count == 0 || count > limits.max_tokens_cap) {
        return std::nullopt;
    }
    return count;
}

/** Several choices would multiply the cost that was charged for one. */
bool asks_for_several_choices(const json& body) {
    for (const char* field : {"n", "best_of"}) {
        const auto found = body.find(field);
        if (found != body.end() && *found != 1) {
            return true;
        }
    }
    return false;
}

bool has_valid_model(const json& body) {
    const auto model = body.find("model");
    return model != body.end() && model->is_string() &&
           !model->get_ref<const std::string&>().empty() &&
           model->get_ref<const std::string&>().size() <= max_model_name_bytes;
}

} // namespace

std::variant<completion_request, delivery::refusal>
parse_completion_request(const std::string& body, bool chat, const completion_limits& limits) {
    const delivery::refusal malformed{delivery::refusal_type::malformed_request,
                                      delivery::run_knowledge::not_run, duration{0}};
    const auto parsed = parse_object(body);
    if (!parsed || !has_valid_model(*parsed) || asks_for_several_choices(*parsed)) {
        return malformed;
    }
    const auto text_bytes = chat ? message_bytes(*parsed) : prompt_bytes(*parsed);
    const auto max_tokens = wanted_tokens(*parsed, limits);
    const auto stream = parsed->find("stream");
    const bool stream_is_valid = stream == parsed->end() || stream->is_boolean();
    if (!text_bytes || !max_tokens || !stream_is_valid) {
        return malformed;
    }
    completion_request request;
    request.model = parsed->at("model").get<std::string>();
    request.stream = stream != parsed->end() && stream->get<bool>();
    request.prompt_tokens = *text_bytes / bytes_per_token + 1;
    request.max_tokens = *max_tokens;
    return request;
}

std::string engine_body(const std::string& body, const std::string& adapter,
                        std::uint64_t max_tokens) {
    auto parsed = parse_object(body);
    CAMPHOR_PRECONDITION(parsed.has_value());
    (*parsed)["model"] = adapter;
    (*parsed)["max_tokens"] = max_tokens;
    return parsed->dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace camphorgrade::gateway
