#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade::keys {

constexpr std::size_t key_id_bytes = 8;
constexpr std::size_t key_secret_bytes = 32;
constexpr std::size_t key_salt_bytes = 16;
constexpr std::size_t key_digest_bytes = 32;

/** The public part of a key, safe to log: 16 lower-case hex digits. */
using key_id_text = std::string;

/** Whether `text` has the form of a key id. Thread safe. */
bool is_key_id(std::string_view text);

/**
 * A key as its holder has it, spelled `cg_<id>_<secret>`. Holds a secret: never log it.
 * A value type without an output operator, so that it can't slip into a log.
 */
class client_key {
public:
    /** Takes exactly the one spelling that spell() gives; anything else is none. Thread safe. */
    static std::optional<client_key> parse(std::string_view spelled);

    /** From random bytes, drawn by the operators' tool. */
    client_key(const std::array<std::uint8_t, key_id_bytes>& id,
               const std::array<std::uint8_t, key_secret_bytes>& secret);

    const key_id_text& id() const noexcept { return id_; }

    /** The secret's hex digits. */
    const std::string& secret() const noexcept { return secret_; }

    /** What the holder sends as a bearer token. */
    std::string spell() const;

private:
    client_key(std::string_view id, std::string_view secret) : id_(id), secret_(secret) {}

    key_id_text id_;
    std::string secret_;
};

} // namespace camphorgrade::keys
