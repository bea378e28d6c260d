#pragma once

#include <kernel/clock.h>
#include <serving/account_limiter.h>

#include <map>
#include <string>

namespace camphorgrade::peering {

/**
 * Selects the client accounts whose usage changed recently, so that a report lists only these. Each
 * change is reported for a fixed period, and thus in several reports, because a report may be lost.
 * Deterministic. Not thread safe.
 */
class usage_change_filter {
public:
    explicit usage_change_filter(duration report_period) : report_period_(report_period) {}

    /** Returns the counts of the accounts that changed within the last `report_period`. */
    serving::account_usage changed(const serving::account_usage& all, time_point now);

private:
    struct last_count {
        serving::account_charges count;
        time_point changed;
    };

    duration report_period_;
    std::map<std::string, last_count> last_counts_;
};

} // namespace camphorgrade::peering
