#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::serving {

/** The `count` of `addresses` that rank first in rendezvous hashing for `key`, in the order of
    their ranks; all if there are fewer. Pure. */
std::vector<std::string> first_by_hash(const std::vector<std::string>& addresses, std::uint64_t key,
                                       std::size_t count);

/** A hash of `text`, about uniform in [0, 1). Pure. */
double hash_unit(std::string_view text, std::uint64_t seed);

} // namespace camphorgrade::serving
