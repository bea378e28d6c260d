#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::delivery {

/** A SHA-256 digest: equal for equal contents, and no caller can forge another's. A value type. */
struct fingerprint {
    static constexpr std::size_t size = 32;
    std::array<std::uint8_t, size> bytes{};

    friend bool operator==(const fingerprint&, const fingerprint&) = default;
    friend auto operator<=>(const fingerprint&, const fingerprint&) = default;
};

/** Digest of the fields and of where each begins and ends. Thread safe. */
fingerprint fingerprint_of(const std::vector<std::string_view>& fields);

/** Lower-case hex digits. Thread safe. */
std::string to_hex(const fingerprint& value);

/** The digest's bytes as a string, for messages and records. Thread safe. */
std::string to_bytes(const fingerprint& value);

/** Reads to_bytes(); a string of another size gives the zero digest. Thread safe. */
fingerprint fingerprint_from_bytes(std::string_view bytes);

} // namespace camphorgrade::delivery
