#pragma once

#include <kernel/ids.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace camphorgrade::config {

/** SHA-256 of a chunk, 32 raw bytes; a chunk's name wherever it is kept. */
using chunk_digest = strong_id<struct chunk_digest_tag, std::string>;

constexpr std::size_t chunk_digest_bytes = 32;

/** Largest chunk that is written or accepted; well under the store's limit of a megabyte. */
constexpr std::size_t max_chunk_bytes = 512U << 10U;

/** The digest of these bytes. Thread safe. */
chunk_digest digest_of(std::string_view chunk);

/** Lower-case hex. Thread safe. */
std::string to_hex(const chunk_digest& digest);

} // namespace camphorgrade::config
