#pragma once

#include <config/settings.h>
#include <kernel/micro_kernel.h>
#include <membership/node_info.h>
#include <node/fleet_peers.h>
#include <node/key_withdrawals.h>

#include <string>

namespace camphorgrade {

/** What the services of a node use and do not own. Must outlive the kernel. */
struct common_parts {
    fleet_peers peers;
    key_withdrawals withdrawals;
    std::string operator_token; /**< Credential for operators' commands; empty refuses them. */
};

/**
 * Adds the services that both daemons have: "metrics", "operators", "membership", "standing",
 * "configuration", "keys", "revision_exchange", "quarantine" and "vm_list". `backend_server` is
 * empty for a gateway. Precondition: none of them was added before.
 */
void add_common_services(micro_kernel& kernel, const config::node_settings& settings,
                         membership::node_role role, const std::string& backend_server,
                         common_parts& parts);

} // namespace camphorgrade
