#pragma once

#include <kernel/clock.h>

#include <optional>

namespace camphorgrade::serving {

/** Times of a store_recovery_estimator. */
struct store_recovery_estimator_settings {
    /** Time from the start of the process until it has received all data from the store; also the
        lower limit of the estimate for the rest of an outage. */
    duration startup_time{250};
    /** Time until servers whose registration lapsed during an outage have registered again. */
    duration reregistration_time{2'200};
    duration max_estimate{5'000}; /**< Upper limit of the estimate for the rest of an outage. */

    friend bool operator==(const store_recovery_estimator_settings&,
                           const store_recovery_estimator_settings&) = default;
};

/**
 * Estimates when this process will have received what it lacks from the store: the catalogue, or
 * servers that register again after an outage. Requests that are refused for lack of these get that
 * time as their Retry-After.
 *
 * An outage is expected to last as long again as it has lasted so far. Not thread safe.
 */
class store_recovery_estimator {
public:
    explicit store_recovery_estimator(store_recovery_estimator_settings settings)
        : settings_(settings) {}

    /** The process starts. */
    void on_start(time_point now);

    /** The store responded, or a call to it failed. */
    void on_contact(bool reachable, time_point now);

    /** When all data should be available; not before `now`. */
    time_point complete_by(time_point now) const;

private:
    /** Start of the current outage; empty while the store responds. */
    std::optional<time_point> outage_start() const;

    store_recovery_estimator_settings settings_;
    std::optional<time_point> started_at_;
    std::optional<time_point> outage_start_;
    std::optional<time_point> outage_end_;
    std::optional<time_point> last_response_;
};

} // namespace camphorgrade::serving
