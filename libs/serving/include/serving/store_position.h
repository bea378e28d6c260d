#pragma once

#include <compare>
#include <cstdint>

namespace camphorgrade::serving {

/**
 * A state of the platform's store. The store counts its changes by revision. When it comes back
 * from an older copy, revisions go back and are given out again, and its era rises, so positions
 * are ordered by era first. A value type.
 */
struct store_position {
    std::uint64_t era = 0; /**< 0: the store, or a peer that reports its state, names none. */
    std::uint64_t revision = 0;

    friend auto operator<=>(const store_position&, const store_position&) = default;
};

} // namespace camphorgrade::serving
