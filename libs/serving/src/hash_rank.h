#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/** The `count` of `addresses` that rank first in rendezvous hashing for `key`, in the order of
    their ranks; all if there are fewer. Pure. */
std::vector<std::string> first_by_hash(const std::vector<std::string>& addresses, std::uint64_t key,
                                       std::size_t count);

} // namespace camphorgrade::serving
