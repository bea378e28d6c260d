#pragma once

#include <cstdint>

namespace camphorgrade::limits {

/** An amount of tokens in millionths, so that growth by the millisecond is exact. */
using micro_tokens = std::int64_t;

inline constexpr micro_tokens micro_tokens_per_token = 1'000'000;

/** Micro-tokens a millisecond of one token a second. */
inline constexpr std::int64_t micro_per_ms_of_token_per_s = 1'000;

/** A fraction of a client account's rate or burst, in billionths. */
using parts = std::int64_t;

/** All of an account. The parts of all gateways and of all transfers add up to at most this. */
inline constexpr parts whole = 1'000'000'000;

/** floor(value * numerator / denominator) without overflow. Preconditions: none negative,
 * denominator positive, result representable. Thread safe. */
std::int64_t scale_down(std::int64_t value, std::int64_t numerator, std::int64_t denominator);

/** Like scale_down(), rounded up. */
std::int64_t scale_up(std::int64_t value, std::int64_t numerator, std::int64_t denominator);

} // namespace camphorgrade::limits
