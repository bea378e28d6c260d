#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade {

/** Base64 with padding, on one line. */
std::string encode_base64(std::string_view bytes);

/** The bytes, or nothing unless `text` is exactly what encode_base64() gives for them. */
std::optional<std::string> decode_base64(std::string_view text);

} // namespace camphorgrade
