#include <keys/client_key.h>

#include <algorithm>

namespace camphorgrade::keys {
namespace {

constexpr std::string_view prefix = "cg_";
constexpr std::size_t id_digits = key_id_bytes * 2;
constexpr std::size_t secret_digits = key_secret_bytes * 2;
constexpr std::size_t secret_at = prefix.size() + id_digits + 1;

bool is_hex(std::string_view text) {
    return std::all_of(text.begin(), text.end(),
                       [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

std::string to_hex(const std::uint8_t* bytes, std::size_t count) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits = 4;
    constexpr unsigned mask = 0xf;
    std::string hex;
    for (std::size_t i = 0; i < count; ++i) {
        hex += digits[bytes[i] >> bits];
        hex += digits[bytes[i] & mask];
    }
    return hex;
}

} // namespace

bool is_key_id(std::string_view text) {
    return text.size() == id_digits && is_hex(text);
}

std::optional<client_key> client_key::parse(std::string_view spelled) {
    if (spelled.size() != secret_at + secret_digits || !spelled.starts_with(prefix) ||
        spelled[secret_at - 1] != '_') {
        return std::nullopt;
    }
    const std::string_view id = spelled.substr(prefix.size(), id_digits);
    const std::string_view secret = spelled.substr(secret_at);
    if (!is_hex(id) || !is_hex(secret)) {
        return std::nullopt;
    }
    return client_key(id, secret);
}

client_key::client_key(const std::array<std::uint8_t, key_id_bytes>& id,
                       const std::array<std::uint8_t, key_secret_bytes>& secret)
    : id_(to_hex(id.data(), id.size())), secret_(to_hex(secret.data(), secret.size())) {}

std::string client_key::spell() const {
    return std::string(prefix) + id_ + '_' + secret_;
}

} // namespace camphorgrade::keys
