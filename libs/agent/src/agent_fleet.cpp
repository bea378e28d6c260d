#include <agent/agent_fleet.h>

#include <kernel/micro_kernel.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace camphorgrade::agent {

namespace {

std::vector<node_id> addresses_of(const std::vector<membership::node_info>& nodes) {
    std::vector<node_id> addresses;
    addresses.reserve(nodes.size());
    for (const auto& each : nodes) {
        addresses.push_back(each.address);
    }
    return addresses;
}

} // namespace

void agent_fleet::attach(micro_kernel& kernel) {
    membership_ = &kernel.find<membership::membership_service>("membership");
    pacer_ = &kernel.find<placement::load_pacer>("load_pacer");
    reporter_ = &kernel.find<placement::reporter>("reporter");
    membership_->add_listener(*this);
}

void agent_fleet::on_nodes_changed(step& now) {
    const auto agents = addresses_of(membership_->live_agents());
    pacer_->set_live(agents);
    // The last agent that leaves is no longer among the live ones, and still reports.
    reporter_->set_agents(std::max<std::size_t>(agents.size(), 1));
    // Leaving gateways too: they still finish requests, and choose agents for retries.
    std::vector<node_id> gateways;
    for (const auto& each : membership_->nodes()) {
        if (each.role == membership::node_role::gateway) {
            gateways.push_back(each.address);
        }
    }
    reporter_->set_gateways(std::move(gateways));
    reporter_->changed(now);
}

} // namespace camphorgrade::agent
