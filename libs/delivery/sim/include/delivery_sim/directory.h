#pragma once

#include <delivery/quarantine.h>
#include <kernel/ids.h>

#include <map>
#include <vector>

namespace camphorgrade::delivery::sim {

/** What simulated nodes know of one another, in place of membership. Not thread safe. */
class directory final : public peer_directory {
public:
    /** What is known of an agent. */
    struct agent_state {
        incarnation life;
        bool up = true;
        bool leaving = false;
        bool backend_up = true;
    };

    std::vector<node_id> peers() const override { return nodes; }

    /** Whether gateways learn that a backend server is down. */
    bool backends_visible = true;

    std::vector<node_id> nodes;
    std::map<node_id, agent_state> agents;
};

} // namespace camphorgrade::delivery::sim
