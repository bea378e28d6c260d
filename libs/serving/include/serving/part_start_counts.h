#pragma once

#include <kernel/clock.h>

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace camphorgrade::serving {

/** Limits of part_start_counts. */
struct part_start_counts_settings {
    duration window{60'000};       /**< Starts are counted for half of this to all of it, ms. */
    std::size_t max_parts = 8'192; /**< Parts counted in each half of the window. */

    friend bool operator==(const part_start_counts_settings&,
                           const part_start_counts_settings&) = default;
};

/**
 * Counts for each part of prompts how many requests with it backend servers recently began to
 * answer. Bounded: when a half of the window has `max_parts` parts, it ends early. Deterministic.
 * Not thread safe.
 */
class part_start_counts {
public:
    explicit part_start_counts(part_start_counts_settings settings) : settings_(settings) {}

    void add(std::uint64_t part, time_point now) {
        advance(now);
        ++newer_[part];
    }

    /** Starts of requests with `part` that are still counted. */
    std::uint32_t count(std::uint64_t part) const { return in(newer_, part) + in(older_, part); }

private:
    using counts = std::unordered_map<std::uint64_t, std::uint32_t>;

    static std::uint32_t in(const counts& half, std::uint64_t part) {
        const auto found = half.find(part);
        return found == half.end() ? 0 : found->second;
    }

    void advance(time_point now) {
        const auto half = settings_.window / 2;
        if (now - began_ < half && newer_.size() < settings_.max_parts) {
            return;
        }
        older_ = now - began_ < 2 * half ? std::move(newer_) : counts{};
        newer_.clear();
        began_ = now;
    }

    part_start_counts_settings settings_;
    counts newer_;
    counts older_;
    time_point began_;
};

} // namespace camphorgrade::serving
