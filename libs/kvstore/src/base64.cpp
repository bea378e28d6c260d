#include "base64.h"

#include <openssl/evp.h>

namespace camphorgrade {

namespace {

constexpr std::size_t text_block = 4;
constexpr std::size_t byte_block = 3;

unsigned char* bytes_of(std::string& text) {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    return reinterpret_cast<unsigned char*>(text.data());
}

const unsigned char* bytes_of(std::string_view text) {
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    return reinterpret_cast<const unsigned char*>(text.data());
}

} // namespace

std::string encode_base64(std::string_view bytes) {
    const std::size_t blocks = (bytes.size() + byte_block - 1) / byte_block;
    // The library ends its text with a zero byte.
    std::string text(blocks * text_block + 1, '\0');
    EVP_EncodeBlock(bytes_of(text), bytes_of(bytes), static_cast<int>(bytes.size()));
    text.pop_back();
    return text;
}

std::optional<std::string> decode_base64(std::string_view text) {
    if (text.size() % text_block != 0) {
        return std::nullopt;
    }
    std::string bytes(text.size() / text_block * byte_block, '\0');
    const int length =
        EVP_DecodeBlock(bytes_of(bytes), bytes_of(text), static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with('=') ? 1 : 0);
    bytes.resize(static_cast<std::size_t>(length) - padding);
    // The library is lenient on white space and stray bits.
    if (encode_base64(bytes) != text) {
        return std::nullopt;
    }
    return bytes;
}

} // namespace camphorgrade
