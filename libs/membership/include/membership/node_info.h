#pragma once

#include <kernel/ids.h>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorgrade::membership {

/** What a process does. */
enum class node_role { gateway, agent };

/** Whether a process takes new work. */
enum class node_state { active, leaving };

/** One registered process. A value type. */
struct node_info {
    node_id address; /**< "ip:port" at which it takes messages. */
    incarnation life;
    node_role role = node_role::gateway;
    std::string data_centre;
    std::string backend_server; /**< Empty for a gateway. */
    node_state state = node_state::active;

    friend bool operator==(const node_info&, const node_info&) = default;
};

/** One life of a process. A value type. */
struct node_life {
    node_id address;
    incarnation life;

    friend bool operator==(const node_life&, const node_life&) = default;
};

} // namespace camphorgrade::membership
