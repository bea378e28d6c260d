#pragma once

#include <serving/request_metadata.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace camphorgrade::serving {

/**
 * Estimates which prompt prefixes one engine has cached for which weights, from the prompts that
 * this gateway sent there. The engine itself evicts by its own rules. Deterministic. Not thread
 * safe.
 */
class prefix_cache_estimate {
public:
    /** Number of tokens at the start of the prompt that the engine has likely cached. */
    std::uint64_t cached_tokens(std::string_view weights, const std::vector<prompt_part>& parts);

    /** Records that the engine has read this prompt. */
    void insert(std::string_view weights, const std::vector<prompt_part>& parts);

    /** Forgets all prefixes; the engine's process has changed. */
    void clear();

private:
    /** Hash of the weights' name and of the prompt parts up to and including one of them. */
    using prefix_hash = std::uint64_t;

    /** Makes `key` the most recently used prefix; evicts the least recently used one if full. */
    void mark_used(prefix_hash key);

    std::list<prefix_hash> recent_; /**< Most recently used first. */
    std::unordered_map<prefix_hash, std::list<prefix_hash>::iterator> entries_;
};

} // namespace camphorgrade::serving
