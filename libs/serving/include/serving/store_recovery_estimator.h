#pragma once

#include <kernel/clock.h>

#include <optional>

namespace camphorgrade::serving {

/** Times of a store_recovery_estimator. */
struct store_recovery_estimator_settings {
    duration startup_time{250}; /**< From a process's start until the store has told it all. */
    duration reregistration_time{2'200}; /**< Until servers whose registration lapsed in an outage
                                      have registered again. */
    duration max_estimate{5'000};        /**< For the rest of an outage of unknown length. */

    friend bool operator==(const store_recovery_estimator_settings&,
                           const store_recovery_estimator_settings&) = default;
};

/**
 * Estimates when the store will have told this process what it lacks: the catalogue, or servers
 * that register again after an outage. Callers that are refused for it are told to come back then.
 *
 * An outage of unknown length is expected to last as long again as it has lasted.
 * Not thread safe.
 */
class store_recovery_estimator {
public:
    explicit store_recovery_estimator(store_recovery_estimator_settings settings)
        : settings_(settings) {}

    /** The process starts. */
    void on_start(time_point now);

    /** The store answered, or a call to it failed. */
    void on_contact(bool reachable, time_point now);

    /** When everything should be known; not before `now`. */
    time_point complete_by(time_point now) const;

private:
    /** Since when the store hasn't answered; empty while it does. */
    std::optional<time_point> out_since() const;

    store_recovery_estimator_settings settings_;
    std::optional<time_point> began_;
    std::optional<time_point> out_since_;
    std::optional<time_point> returned_;
    std::optional<time_point> last_answer_;
};

} // namespace camphorgrade::serving
