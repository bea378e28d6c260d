#pragma once

#include <kernel/clock.h>
#include <limits/token_units.h>

namespace camphorgrade::limits {

/** How much was asked for lately: an average that fades with time. A value type. */
class demand_meter {
public:
    /** Adds `cost` asked for at `now`. */
    void add(micro_tokens cost, time_point now);

    /** Micro-tokens a second. */
    std::int64_t per_second(time_point now) const;

    friend bool operator==(const demand_meter&, const demand_meter&) = default;

private:
    micro_tokens sum_ = 0;
    time_point last_{};
};

} // namespace camphorgrade::limits
