#pragma once

#include <cstdint>

namespace camphorgrade {

/**
 * A seeded source of pseudo-random numbers; the same seed gives the same sequence everywhere.
 *
 * Decision code draws from the source that its step carries and from nothing else.
 * Not for secrets. Not thread safe.
 */
class random_source {
public:
    explicit random_source(std::uint64_t seed) noexcept : state_(seed) {}

    /** Next 64 uniformly distributed bits. */
    std::uint64_t next() noexcept;

    /** Uniform integer in [0, bound). Precondition: bound > 0. */
    std::uint64_t below(std::uint64_t bound);

    /** Uniform real in [0, 1). */
    double unit() noexcept;

private:
    std::uint64_t state_;
};

} // namespace camphorgrade
