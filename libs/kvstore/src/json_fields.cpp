#include "json_fields.h"
#include "base64.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <limits>

namespace camphorgrade {

json_fields::json_fields(const nlohmann::json& value) : value_(value) {
    if (!value.is_object()) {
        throw malformed_json{};
    }
}

void json_fields::allow_only(std::initializer_list<const char*> names) const {
    for (const auto& item : value_.items()) {
        const bool is_known = std::any_of(names.begin(), names.end(),
                                          [&](const char* name) { return item.key() == name; });
        if (!is_known) {
            throw malformed_json{};
        }
    }
}

const nlohmann::json* json_fields::find(const char* name, const char* camel_name) const {
    const auto found = value_.find(name);
    const auto camel = camel_name == nullptr ? value_.end() : value_.find(camel_name);
    if (found != value_.end() && camel != value_.end()) {
        throw malformed_json{};
    }
    if (found != value_.end()) {
        return &*found;
    }
    return camel != value_.end() ? &*camel : nullptr;
}

std::string json_fields::bytes(const char* name, const char* camel_name) const {
    const nlohmann::json* const field = find(name, camel_name);
    if (field == nullptr) {
        return {};
    }
    const auto* const text = field->get_ptr<const std::string*>();
    auto decoded = text == nullptr ? std::nullopt : decode_base64(*text);
    if (!decoded) {
        throw malformed_json{};
    }
    return std::move(*decoded);
}

std::int64_t json_fields::number(const char* name, const char* camel_name) const {
    const nlohmann::json* const field = find(name, camel_name);
    if (field == nullptr) {
        return 0;
    }
    constexpr auto largest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (field->is_number_unsigned() && field->get<std::uint64_t>() <= largest) {
        return field->get<std::int64_t>();
    }
    if (field->is_number_integer() && !field->is_number_unsigned()) {
        return field->get<std::int64_t>();
    }
    const auto* const text = field->get_ptr<const std::string*>();
    if (text == nullptr) {
        throw malformed_json{};
    }
    std::int64_t value = 0;
    const char* const end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        throw malformed_json{};
    }
    return value;
}

std::string json_fields::text(const char* name, const std::string& otherwise) const {
    const nlohmann::json* const field = find(name);
    if (field == nullptr) {
        return otherwise;
    }
    const auto* const text = field->get_ptr<const std::string*>();
    if (text == nullptr) {
        throw malformed_json{};
    }
    return *text;
}

bool json_fields::boolean(const char* name) const {
    const nlohmann::json* const field = find(name);
    if (field == nullptr) {
        return false;
    }
    if (!field->is_boolean()) {
        throw malformed_json{};
    }
    return field->get<bool>();
}

const nlohmann::json::array_t& json_fields::items(const char* name) const {
    static const nlohmann::json::array_t none;
    const nlohmann::json* const field = find(name);
    if (field == nullptr) {
        return none;
    }
    const auto* const items = field->get_ptr<const nlohmann::json::array_t*>();
    if (items == nullptr) {
        throw malformed_json{};
    }
    return *items;
}

nlohmann::json parse_json(std::string_view text) {
    nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_discarded()) {
        throw malformed_json{};
    }
    return value;
}

} // namespace camphorgrade
