#include <peering/usage_change_filter.h>

namespace camphorgrade::peering {

serving::account_usage usage_change_filter::changed(const serving::account_usage& all,
                                                    time_point now) {
    serving::account_usage recent;
    for (const auto& [account, count] : all) {
        auto& last = last_counts_[account];
        if (last.count != count) {
            last = {count, now};
        }
        if (last.changed != time_point{} && now - last.changed < report_period_) {
            recent[account] = count;
        }
    }
    return recent;
}

} // namespace camphorgrade::peering
