#include <node/fleet_peers.h>

namespace camphorgrade {

std::vector<node_id> fleet_peers::peers() const {
    std::vector<node_id> all;
    for (const auto& each : live_peers()) {
        all.push_back(each.node);
    }
    return all;
}

std::vector<config::peer> fleet_peers::live_peers() const {
    std::vector<config::peer> all;
    if (nodes_ != nullptr) {
        for (const auto& each : nodes_->nodes()) {
            all.push_back({each.address, each.data_centre});
        }
    }
    return all;
}

} // namespace camphorgrade
