#pragma once

#include <config/adapter.h>
#include <config/chunk_digest.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::config {

/**
 * Some adapters next to each other in name order, as they are kept and sent: the encoded bytes are
 * the only copy, so that a node's memory is close to the size of the catalogue.
 * Immutable; all functions are thread safe.
 *
 * @code
 * if (const auto chunk = adapter_chunk::decode(bytes)) { use(chunk->find("concert-hall")); }
 * @endcode
 */
class adapter_chunk {
public:
    /** None unless the bytes are well-formed, in name order and without unknown fields. */
    static std::optional<adapter_chunk> decode(std::string bytes);

    /** Preconditions: at least one adapter; in name order; each names its default version. */
    static adapter_chunk encode(const std::vector<adapter_spec>& adapters);

    std::size_t size() const noexcept { return offsets_.size(); }
    const std::string& bytes() const noexcept { return bytes_; }
    const chunk_digest& digest() const noexcept { return digest_; }
    const std::string& first_name() const noexcept { return first_name_; }

    /** Base models of the adapters, each once. */
    const std::vector<std::string>& models() const noexcept { return models_; }

    /** Precondition: index < size(). */
    adapter_spec at(std::size_t index) const;

    std::optional<adapter_spec> find(std::string_view name) const;

private:
    adapter_chunk() = default;

    std::string bytes_;
    std::vector<std::uint32_t> offsets_; // where each entry's length prefix stands
    chunk_digest digest_;
    std::string first_name_;
    std::vector<std::string> models_;
};

} // namespace camphorgrade::config
