#include <serving/recent_gateways.h>

namespace camphorgrade::serving {

void recent_gateways::add(const std::vector<std::string>& addresses, time_point now) {
    for (const auto& each : addresses) {
        added_at_[each] = now;
    }
}

void recent_gateways::remove_expired(time_point now) {
    std::erase_if(added_at_, [&](const auto& each) { return now - each.second >= memory_; });
}

} // namespace camphorgrade::serving
