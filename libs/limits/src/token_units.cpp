#include <limits/token_units.h>

#include <kernel/check.h>

namespace camphorgrade::limits {

namespace {

__extension__ using wide = __int128;

} // namespace

std::int64_t scale_down(std::int64_t value, std::int64_t numerator, std::int64_t denominator) {
    CAMPHOR_PRECONDITION(value >= 0 && numerator >= 0 && denominator > 0);
    return static_cast<std::int64_t>(wide{value} * numerator / denominator);
}

std::int64_t scale_up(std::int64_t value, std::int64_t numerator, std::int64_t denominator) {
    CAMPHOR_PRECONDITION(value >= 0 && numerator >= 0 && denominator > 0);
    return static_cast<std::int64_t>((wide{value} * numerator + denominator - 1) / denominator);
}

} // namespace camphorgrade::limits
