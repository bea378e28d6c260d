#pragma once

#include <kernel/clock.h>
#include <serving/account_limiter.h>

#include <map>
#include <string>

namespace camphorgrade::peering {

/**
 * Picks the client accounts whose counts changed lately, so that a report names only these. Each
 * change is named for a while, in more than one report, because reports may be lost.
 * Deterministic. Not thread safe.
 */
class usage_change_filter {
public:
    explicit usage_change_filter(duration named_for) : named_for_(named_for) {}

    /** Counts of the accounts that changed within the last `named_for`. */
    serving::account_usage changed(const serving::account_usage& all, time_point now);

private:
    struct seen_count {
        serving::account_charges count;
        time_point changed;
    };

    duration named_for_;
    std::map<std::string, seen_count> seen_;
};

} // namespace camphorgrade::peering
