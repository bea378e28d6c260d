#pragma once

#include <cstddef>
#include <string>

/** @file The users' rule about streams that callers take up again. */
namespace camphorgrade::soak {

/** What became of streams at machines in touch, while two servers of their version served. A value
    type. */
struct lost_figures {
    std::size_t taken_up = 0;
    std::size_t went_on = 0;
    std::size_t new_streams = 0;
    std::size_t begun = 0; /**< Of the new streams. */

    friend bool operator==(const lost_figures&, const lost_figures&) = default;
};

/** With fewer streams, nothing is judged. */
inline constexpr std::size_t min_judged_streams = 12;

/** Whether the share of streams that go on is under half of the share of new ones that begin. */
inline bool breaks_lost_rule(const lost_figures& seen) {
    return seen.taken_up >= min_judged_streams &&
           2 * seen.went_on * seen.new_streams < seen.begun * seen.taken_up;
}

inline std::string to_string(const lost_figures& seen) {
    return std::to_string(seen.went_on) + " of " + std::to_string(seen.taken_up) +
           " streams went on, " + std::to_string(seen.begun) + " of " +
           std::to_string(seen.new_streams) + " new ones began";
}

} // namespace camphorgrade::soak
