#pragma once

#include <kernel/service.h>
#include <membership/membership_service.h>
#include <node/vm_list_service.h>
#include <placement/router_service.h>

#include <set>
#include <string>

namespace camphorgrade::gateway {

/**
 * The service "fleet" of a gateway: tells the router which agents get nothing new, as they are
 * leaving, whatever they report themselves. Not thread safe.
 */
class gateway_fleet final : public service,
                            public membership::membership_listener,
                            public vm_list_listener {
public:
    std::string_view name() const noexcept override { return "fleet"; }
    void attach(micro_kernel& kernel) override;
    void on_nodes_changed(step& now) override;
    void on_leaving_vms(const std::set<std::string>& leaving, step& now) override;

private:
    void update();

    membership::membership_service* membership_ = nullptr;
    placement::router_service* router_ = nullptr;
    std::set<std::string> leaving_vms_;
    std::set<node_id> known_;
};

} // namespace camphorgrade::gateway
