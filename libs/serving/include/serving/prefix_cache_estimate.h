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
 * Remembers which beginnings of prompts one engine has read for which weights, as far as this
 * gateway has sent them. An estimate: the engine evicts by its own rules. Deterministic.
 * Not thread safe.
 */
class prefix_cache_estimate {
public:
    /** Tokens at the beginning of the prompt that were read there before. */
    std::uint64_t cached_tokens(std::string_view weights, const std::vector<prompt_part>& parts);

    /** The engine has read this prompt. */
    void insert(std::string_view weights, const std::vector<prompt_part>& parts);

    /** The engine dropped everything of these weights. */
    void clear();

private:
    using chain = std::uint64_t;

    void touch(chain key);

    std::list<chain> recent_;
    std::unordered_map<chain, std::list<chain>::iterator> known_;
};

} // namespace camphorgrade::serving
