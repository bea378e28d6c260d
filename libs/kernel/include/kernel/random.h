#pragma once

#include <cstdint>

namespace camphorgrade {

/**
 * A seeded pseudo-random number generator; a seed gives the same sequence on every platform.
 *
 * Services use only the generator of their step. Not for secrets. Not thread safe.
 */
class random_source {
public:
    explicit random_source(std::uint64_t seed) noexcept : state_(seed) {}

    /** Next 64 uniformly distributed bits. */
    std::uint64_t next() noexcept;

    /** Uniformly distributed integer in [0, bound). Precondition: `bound` > 0. */
    std::uint64_t below(std::uint64_t bound);

    /** Uniformly distributed real number in [0, 1). */
    double unit() noexcept;

private:
    std::uint64_t state_;
};

} // namespace camphorgrade
