#include <kernel/random.h>

#include <kernel/check.h>

namespace camphorgrade {

// The SplitMix64 algorithm with its published constants.
std::uint64_t random_source::next() noexcept {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

std::uint64_t random_source::below(std::uint64_t bound) {
    CAMPHOR_PRECONDITION(bound > 0);
    return next() % bound;
}

double random_source::unit() noexcept {
    constexpr double two_to_minus_53 = 1.0 / 9007199254740992.0;
    return static_cast<double>(next() >> 11U) * two_to_minus_53;
}

} // namespace camphorgrade
