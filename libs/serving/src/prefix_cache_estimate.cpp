#include <serving/prefix_cache_estimate.h>

#include <functional>

namespace camphorgrade::serving {

namespace {

// Beginnings remembered for each engine; above what its memory holds of the shared parts.
constexpr std::size_t max_chains = 256;

std::uint64_t extend(std::uint64_t chain, std::uint64_t id) noexcept {
    constexpr std::uint64_t mix = 0x9e3779b97f4a7c15ULL;
    std::uint64_t hash = chain ^ (id + mix + (chain << 6U) + (chain >> 2U));
    hash ^= hash >> 31U;
    return hash * mix;
}

} // namespace

std::uint64_t prefix_cache_estimate::cached_tokens(std::string_view weights,
                                                   const std::vector<prompt_part>& parts) {
    std::uint64_t tokens = 0;
    chain key = std::hash<std::string_view>{}(weights);
    for (const auto& each : parts) {
        key = extend(key, each.id);
        if (known_.find(key) == known_.end()) {
            break;
        }
        tokens += each.tokens;
    }
    return tokens;
}

void prefix_cache_estimate::insert(std::string_view weights,
                                   const std::vector<prompt_part>& parts) {
    chain key = std::hash<std::string_view>{}(weights);
    for (const auto& each : parts) {
        key = extend(key, each.id);
        touch(key);
    }
}

void prefix_cache_estimate::touch(chain key) {
    if (const auto found = known_.find(key); found != known_.end()) {
        recent_.splice(recent_.begin(), recent_, found->second);
        return;
    }
    recent_.push_front(key);
    known_[key] = recent_.begin();
    if (recent_.size() > max_chains) {
        known_.erase(recent_.back());
        recent_.pop_back();
    }
}

void prefix_cache_estimate::clear() {
    recent_.clear();
    known_.clear();
}

} // namespace camphorgrade::serving
