#pragma once

#include <kernel/clock.h>

#include <cstdint>

namespace camphorgrade::serving {

/** Initial values and learning rates of a load_time_estimator. */
struct load_time_estimator_settings {
    /** Load time of an adapter from the weight store while few loads are in progress. */
    duration initial_load_time{250};
    /** Parallel loads in the whole fleet that run at full speed; above this number, load times
        grow in proportion. */
    double full_speed_loads = 8;
    /** Relative deviation from the expected load time up to which a load is ignored. */
    double tolerance = 0.25;
    /** Weight of a fast load, which shows that more loads run at full speed. */
    double increase_weight = 0.3;
    double decrease_weight = 0.05; /**< Weight of a slow load, which may have other causes. */
    /** Weight of a load time that is measured while few loads are in progress. */
    double load_time_weight = 0.1;

    friend bool operator==(const load_time_estimator_settings&,
                           const load_time_estimator_settings&) = default;
};

/**
 * Estimates adapter load times. Learns from completed loads how long one takes and how many the
 * weight store sustains at full speed. Deterministic. Not thread safe.
 */
class load_time_estimator {
public:
    explicit load_time_estimator(load_time_estimator_settings settings);

    /** Records a load from the weight store that took `load_time`, with `loads_in_progress` loads
        in the fleet, this one included. */
    void on_load(duration load_time, std::uint32_t loads_in_progress);

    /** Estimated time of one more load in parallel with `loads_in_progress` others. */
    duration estimate(std::uint32_t loads_in_progress) const;

    /** Current estimate of the number of parallel loads that run at full speed. */
    double full_speed_loads() const noexcept { return full_speed_loads_; }

private:
    /** Expected load time in milliseconds while `loads` run in parallel. */
    double expected_ms(double loads) const;

    load_time_estimator_settings settings_;
    double load_ms_;
    double full_speed_loads_;
};

} // namespace camphorgrade::serving
