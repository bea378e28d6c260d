#include "unframed_servers.h"

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::edge {

unframed_servers::unframed_servers(duration period, std::size_t max_servers)
    : period_(period), max_servers_(max_servers) {
    CAMPHOR_PRECONDITION(max_servers > 0);
}

void unframed_servers::add(const upstream_address& server, time_point now) {
    latest_[server] = now;
    if (latest_.size() > max_servers_) {
        latest_.erase(
            std::min_element(latest_.begin(), latest_.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; }));
    }
}

bool unframed_servers::contains(const upstream_address& server, time_point now) const {
    const auto found = latest_.find(server);
    return found != latest_.end() && now - found->second < period_;
}

} // namespace camphorgrade::edge
