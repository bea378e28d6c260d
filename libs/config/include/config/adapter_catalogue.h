#pragma once

#include <config/adapter.h>
#include <config/adapter_chunk.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace camphorgrade::config {

/**
 * All adapters of an operators' text, in name order; made for a hundred thousand and more.
 *
 * Consists of chunks that are cut where a hash of a name says so: an edit of one adapter changes
 * one chunk, and two catalogues share the chunks that they have in common. Immutable; all functions
 * are thread safe.
 *
 * @code
 * if (const auto adapter = catalogue.find("concert-hall")) { use(adapter->default_version); }
 * @endcode
 */
class adapter_catalogue {
public:
    using chunk_pointer = std::shared_ptr<const adapter_chunk>;

    adapter_catalogue() = default;

    /** Preconditions: names are unique; each adapter names its default version. Any order. */
    explicit adapter_catalogue(std::vector<adapter_spec> adapters);

    /** From chunks; none unless they are in name order and do not overlap. */
    static std::optional<adapter_catalogue> join(std::vector<chunk_pointer> chunks);

    const std::vector<chunk_pointer>& chunks() const noexcept { return chunks_; }
    std::size_t size() const noexcept { return size_; }

    /** The adapter of that name. Takes logarithmic time. */
    std::optional<adapter_spec> find(std::string_view name) const;

    /** Resolves "name" to its default version, "name@version" to that version if it exists. */
    std::optional<adapter_ref> resolve(std::string_view spelled) const;

    /** Calls `visit` for each adapter in name order. */
    void for_each(const std::function<void(const adapter_spec&)>& visit) const;

    /** Whether both hold the same adapters; fast for chunks that they share. */
    friend bool operator==(const adapter_catalogue& a, const adapter_catalogue& b);

private:
    std::vector<chunk_pointer> chunks_;
    std::size_t size_ = 0;
};

} // namespace camphorgrade::config
