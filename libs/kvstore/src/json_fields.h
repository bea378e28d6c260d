#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>

namespace camphorgrade {

/** Thrown by json_fields and caught by the decoders, which turn it into a typed error. */
struct malformed_json {};

/** Strict, typed access to the fields of one JSON object; absent fields have their default. */
class json_fields {
public:
    /** Throws malformed_json unless `value` is an object. */
    explicit json_fields(const nlohmann::json& value);

    /** Throws malformed_json on a field that is not in `names`. */
    void allow_only(std::initializer_list<const char*> names) const;

    /** The field under either of its published spellings, or null. */
    const nlohmann::json* find(const char* name, const char* camel_name = nullptr) const;

    std::string bytes(const char* name, const char* camel_name = nullptr) const;
    std::int64_t number(const char* name, const char* camel_name = nullptr) const;
    std::string text(const char* name, const std::string& otherwise) const;
    bool boolean(const char* name) const;

    /** Items of an array field; none when it is absent. */
    const nlohmann::json::array_t& items(const char* name) const;

private:
    const nlohmann::json& value_;
};

/** Parses a whole text; throws malformed_json. */
nlohmann::json parse_json(std::string_view text);

} // namespace camphorgrade
