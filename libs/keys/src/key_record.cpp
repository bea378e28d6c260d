#include <keys/key_record.h>

#include <kernel/check.h>
#include <wire/keys.pb.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>

namespace camphorgrade::keys {
namespace {

constexpr std::size_t max_account_bytes = 128;
constexpr std::size_t max_record_bytes = 1024;

std::array<std::uint8_t, key_digest_bytes>
salted_digest(const std::array<std::uint8_t, key_salt_bytes>& salt, const std::string& secret) {
    std::string input(salt.begin(), salt.end());
    input += secret;
    std::array<std::uint8_t, key_digest_bytes> digest{};
    const int done =
        EVP_Digest(input.data(), input.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    OPENSSL_cleanse(input.data(), input.size());
    CAMPHOR_INVARIANT(done == 1);
    return digest;
}

bool is_account(std::string_view name) {
    return !name.empty() && name.size() <= max_account_bytes &&
           std::all_of(name.begin(), name.end(), [](char c) { return c > ' ' && c <= '~'; });
}

template <std::size_t N>
bool copy_exactly(const std::string& from, std::array<std::uint8_t, N>& to) {
    if (from.size() != N) {
        return false;
    }
    std::copy(from.begin(), from.end(), to.begin());
    return true;
}

template <std::size_t N>
std::string as_string(const std::array<std::uint8_t, N>& bytes) {
    return {bytes.begin(), bytes.end()};
}

} // namespace

key_record make_record(const client_key& key, std::string client_account,
                       const std::array<std::uint8_t, key_salt_bytes>& salt) {
    return {key.id(), std::move(client_account), salt, salted_digest(salt, key.secret())};
}

bool matches(const key_record& record, const client_key& key) {
    const auto digest = salted_digest(record.salt, key.secret());
    return record.id == key.id() &&
           CRYPTO_memcmp(digest.data(), record.digest.data(), digest.size()) == 0;
}

std::string encode(const key_record& record) {
    wire::key_record message;
    message.set_id(record.id);
    message.set_client_account(record.client_account);
    message.set_salt(as_string(record.salt));
    message.set_digest(as_string(record.digest));
    return message.SerializeAsString();
}

std::optional<key_record> decode_key_record(std::string_view bytes) {
    wire::key_record message;
    if (bytes.size() > max_record_bytes ||
        !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
        !message.GetReflection()->GetUnknownFields(message).empty()) {
        return std::nullopt;
    }
    key_record record{message.id(), message.client_account(), {}, {}};
    const bool whole = is_key_id(record.id) && is_account(record.client_account) &&
                       copy_exactly(message.salt(), record.salt) &&
                       copy_exactly(message.digest(), record.digest);
    return whole ? std::optional(std::move(record)) : std::nullopt;
}

} // namespace camphorgrade::keys
