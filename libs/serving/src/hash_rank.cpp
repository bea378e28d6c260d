#include "hash_rank.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorgrade::serving {

std::vector<std::string> first_by_hash(const std::vector<std::string>& addresses, std::uint64_t key,
                                       std::size_t count) {
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(addresses.size());
    for (const auto& each : addresses) {
        ranked.emplace_back(XXH64(each.data(), each.size(), key), each);
    }
    const auto kept = std::min(count, ranked.size());
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(ranked.begin(), end, ranked.end());
    std::vector<std::string> out;
    std::transform(ranked.begin(), end, std::back_inserter(out),
                   [](const auto& each) { return each.second; });
    return out;
}

double hash_unit(std::string_view text, std::uint64_t seed) {
    constexpr double hash_range = 18'446'744'073'709'551'616.0; // 2^64
    return static_cast<double>(XXH64(text.data(), text.size(), seed)) / hash_range;
}

} // namespace camphorgrade::serving
