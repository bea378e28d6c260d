#pragma once

#include <keys/client_key.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade::keys {

/** Where records and withdrawals are in the key-value service; an id follows. */
constexpr std::string_view key_prefix = "/camphorgrade/keys/";
constexpr std::string_view withdrawn_prefix = "/camphorgrade/withdrawn/";

/** What is kept of a key: enough to check it, not enough to use it. A value type. */
struct key_record {
    key_id_text id;
    std::string client_account;
    std::array<std::uint8_t, key_salt_bytes> salt{};
    std::array<std::uint8_t, key_digest_bytes> digest{};

    friend bool operator==(const key_record&, const key_record&) = default;
};

/** The record of a new key. Thread safe. */
key_record make_record(const client_key& key, std::string client_account,
                       const std::array<std::uint8_t, key_salt_bytes>& salt);

/** Whether `key` is exactly the one that the record was made of. Constant time. Thread safe. */
bool matches(const key_record& record, const client_key& key);

/** The form kept in the key-value service. Thread safe. */
std::string encode(const key_record& record);

/** None for anything that encode() would not give. Never throws. Thread safe. */
std::optional<key_record> decode_key_record(std::string_view bytes);

} // namespace camphorgrade::keys
