#include <delivery/fingerprint.h>

#include <openssl/sha.h>

#include <algorithm>

namespace camphorgrade::delivery {

namespace {

constexpr unsigned bits_per_byte = 8;
constexpr std::size_t length_bytes = 8;

void append_length(std::string& out, std::uint64_t length) {
    for (std::size_t i = 0; i < length_bytes; ++i) {
        out.push_back(static_cast<char>(length & 0xffU));
        length >>= bits_per_byte;
    }
}

} // namespace

fingerprint fingerprint_of(const std::vector<std::string_view>& fields) {
    std::string content;
    for (const std::string_view field : fields) {
        append_length(content, field.size());
        content.append(field);
    }
    fingerprint digest;
    SHA256(reinterpret_cast<const unsigned char*>(content.data()), content.size(),
           digest.bytes.data());
    return digest;
}

std::string to_hex(const fingerprint& value) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const std::uint8_t byte : value.bytes) {
        hex.push_back(digits[byte >> 4U]);
        hex.push_back(digits[byte & 0x0fU]);
    }
    return hex;
}

std::string to_bytes(const fingerprint& value) {
    return {value.bytes.begin(), value.bytes.end()};
}

fingerprint fingerprint_from_bytes(std::string_view bytes) {
    fingerprint value;
    if (bytes.size() == fingerprint::size) {
        std::copy(bytes.begin(), bytes.end(), value.bytes.begin());
    }
    return value;
}

} // namespace camphorgrade::delivery
