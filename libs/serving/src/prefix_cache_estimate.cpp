#include <serving/prefix_cache_estimate.h>

#include <functional>

namespace camphorgrade::serving {

namespace {

// Prefixes kept for each engine; more than its memory holds of the shared prompt parts.
constexpr std::size_t max_prefixes = 256;

std::uint64_t extend(std::uint64_t prefix_hash, std::uint64_t id) noexcept {
    constexpr std::uint64_t mix = 0x9e3779b97f4a7c15ULL;
    std::uint64_t hash = prefix_hash ^ (id + mix + (prefix_hash << 6U) + (prefix_hash >> 2U));
    hash ^= hash >> 31U;
    return hash * mix;
}

} // namespace

std::uint64_t prefix_cache_estimate::cached_tokens(std::string_view weights,
                                                   const std::vector<prompt_part>& parts) {
    std::uint64_t tokens = 0;
    prefix_hash key = std::hash<std::string_view>{}(weights);
    for (const auto& each : parts) {
        key = extend(key, each.id);
        if (entries_.find(key) == entries_.end()) {
            break;
        }
        tokens += each.tokens;
    }
    return tokens;
}

void prefix_cache_estimate::insert(std::string_view weights,
                                   const std::vector<prompt_part>& parts) {
    prefix_hash key = std::hash<std::string_view>{}(weights);
    for (const auto& each : parts) {
        key = extend(key, each.id);
        mark_used(key);
    }
}

void prefix_cache_estimate::mark_used(prefix_hash key) {
    if (const auto found = entries_.find(key); found != entries_.end()) {
        recent_.splice(recent_.begin(), recent_, found->second);
        return;
    }
    recent_.push_front(key);
    entries_[key] = recent_.begin();
    if (recent_.size() > max_prefixes) {
        entries_.erase(recent_.back());
        recent_.pop_back();
    }
}

void prefix_cache_estimate::clear() {
    recent_.clear();
    entries_.clear();
}

} // namespace camphorgrade::serving
