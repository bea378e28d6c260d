#pragma once

#include <kernel/clock.h>

#include <cstdint>

namespace camphorgrade::serving {

/** What a load_pace assumes at first, and how fast it learns. */
struct load_pace_settings {
    duration load{250};          /**< Of an adapter from the weight store, few under way. */
    double full_speed_loads = 8; /**< Fleet-wide; beyond it each takes longer in proportion. */
    double tolerance = 0.25;  /**< A load that differs less from what was expected says nothing. */
    double rise = 0.3;        /**< Weight of a load that shows that more run at full speed. */
    double fall = 0.05;       /**< Weight of one that was slower: it may have other causes. */
    double time_weight = 0.1; /**< Weight of a load while few are under way. */

    friend bool operator==(const load_pace_settings&, const load_pace_settings&) = default;
};

/**
 * Learns from loads of adapters how long one takes and how many the weight store carries at full
 * speed, and estimates the next one. Deterministic. Not thread safe.
 */
class load_pace {
public:
    explicit load_pace(load_pace_settings settings);

    /** A load from the weight store took so long, with `under_way` loads in the fleet, this one
        included. */
    void on_load(duration took, std::uint32_t under_way);

    /** Time of one more load beside `under_way` others. */
    duration estimate(std::uint32_t under_way) const;

    /** What was learned so far, of loads at once. */
    double full_speed_loads() const noexcept { return full_speed_loads_; }

private:
    double expected_ms(double loads) const;

    load_pace_settings settings_;
    double load_ms_;
    double full_speed_loads_;
};

} // namespace camphorgrade::serving
