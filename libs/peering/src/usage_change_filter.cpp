#include <peering/usage_change_filter.h>

namespace camphorgrade::peering {

serving::account_usage usage_change_filter::changed(const serving::account_usage& all,
                                                    time_point now) {
    serving::account_usage out;
    for (const auto& [account, count] : all) {
        auto& seen = seen_[account];
        if (seen.count != count) {
            seen = {count, now};
        }
        if (seen.changed != time_point{} && now - seen.changed < named_for_) {
            out[account] = count;
        }
    }
    return out;
}

} // namespace camphorgrade::peering
