#pragma once

#include <config/peer_view.h>
#include <delivery/quarantine.h>
#include <membership/membership_service.h>

#include <vector>

namespace camphorgrade {

/** Shows the membership to modules that do not depend on it. Not thread safe. */
class fleet_peers final : public delivery::peer_directory, public config::peer_view {
public:
    /** The membership outlives it. Until attached, there are no peers. */
    void attach(const membership::membership_service& nodes) { nodes_ = &nodes; }

    std::vector<node_id> peers() const override;
    std::vector<config::peer> live_peers() const override;

private:
    const membership::membership_service* nodes_ = nullptr;
};

} // namespace camphorgrade
