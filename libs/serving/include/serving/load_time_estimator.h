#pragma once

#include <kernel/clock.h>

#include <cstdint>

namespace camphorgrade::serving {

/** What a load_time_estimator assumes at first, and how fast it learns. */
struct load_time_estimator_settings {
    duration initial_load_time{250}; /**< Of an adapter from the weight store, few under way. */
    double full_speed_loads = 8;     /**< Fleet-wide; beyond it each takes longer in proportion. */
    double tolerance = 0.25; /**< A load that differs less from what was expected says nothing. */
    double increase_weight = 0.3;  /**< Weight of a load that shows that more run at full speed. */
    double decrease_weight = 0.05; /**< Weight of one that was slower: it may have other causes. */
    double load_time_weight = 0.1; /**< Weight of a load while few are under way. */

    friend bool operator==(const load_time_estimator_settings&,
                           const load_time_estimator_settings&) = default;
};

/**
 * Learns from loads of adapters how long one takes and how many the weight store carries at full
 * speed, and estimates the next one. Deterministic. Not thread safe.
 */
class load_time_estimator {
public:
    explicit load_time_estimator(load_time_estimator_settings settings);

    /** A load from the weight store took so long, with `under_way` loads in the fleet, this one
        included. */
    void on_load(duration took, std::uint32_t under_way);

    /** Time of one more load beside `under_way` others. */
    duration estimate(std::uint32_t under_way) const;

    /** What was learned so far, of loads at once. */
    double full_speed_loads() const noexcept { return full_speed_loads_; }

private:
    double expected_ms(double loads) const;

    load_time_estimator_settings settings_;
    double load_ms_;
    double full_speed_loads_;
};

} // namespace camphorgrade::serving
