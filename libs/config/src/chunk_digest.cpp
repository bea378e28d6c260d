#include <config/chunk_digest.h>

#include <kernel/check.h>

#include <openssl/evp.h>

#include <array>

namespace camphorgrade::config {

chunk_digest digest_of(std::string_view chunk) {
    std::array<unsigned char, chunk_digest_bytes> digest{};
    const int done =
        EVP_Digest(chunk.data(), chunk.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    CAMPHOR_INVARIANT(done == 1);
    return chunk_digest{std::string(digest.begin(), digest.end())};
}

std::string to_hex(const chunk_digest& digest) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr unsigned bits = 4;
    constexpr unsigned mask = 0xf;
    std::string hex;
    hex.reserve(digest.value().size() * 2);
    for (const char each : digest.value()) {
        const auto byte = static_cast<unsigned char>(each);
        hex += digits[byte >> bits];
        hex += digits[byte & mask];
    }
    return hex;
}

} // namespace camphorgrade::config
