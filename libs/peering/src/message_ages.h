#pragma once

#include <kernel/clock.h>

#include <algorithm>
#include <cstdint>

namespace camphorgrade::peering {

/** Longer ages in messages are read as this, a year, so that sums with times don't overflow. */
inline constexpr duration max_age{31'536'000'000};

/** Reads an age in milliseconds; -1 ms for a number that encodes a negative age. Pure. */
inline duration read_age(std::uint64_t wire_ms) {
    const duration age{static_cast<duration::rep>(wire_ms)};
    return std::clamp(age, duration{-1}, max_age);
}

} // namespace camphorgrade::peering
