#pragma once

#include "placement_workload.h"

#include <placement/router.h>
#include <placement/scheduler.h>

#include <memory>
#include <string>
#include <vector>

namespace camphorgrade::experiment {

/** How requests are routed and engines run in one experiment. */
class placement_policy {
public:
    placement_policy() = default;
    placement_policy(const placement_policy&) = delete;
    placement_policy& operator=(const placement_policy&) = delete;
    placement_policy(placement_policy&&) = delete;
    placement_policy& operator=(placement_policy&&) = delete;
    virtual ~placement_policy() = default;

    /** Settings of every engine's scheduler. */
    virtual placement::scheduler_settings scheduling(const deployment& sizes) const = 0;

    /** Whether a director paces the loads. */
    virtual bool paced() const { return false; }

    virtual void on_report(std::size_t gateway, const node_id& agent,
                           const placement::agent_status& status, time_point now) = 0;

    virtual placement::route choose(const workload_request& request,
                                    const std::vector<node_id>& excluded, time_point now,
                                    random_source& random) = 0;
};

/** The policy of that name for so many gateways; empty for an unknown name. */
std::unique_ptr<placement_policy> make_policy(const std::string& name, std::size_t gateways,
                                              const std::vector<node_id>& agents);

std::vector<std::string> policy_names();

} // namespace camphorgrade::experiment
