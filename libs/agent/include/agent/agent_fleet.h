#pragma once

#include <kernel/service.h>
#include <membership/membership_service.h>
#include <placement/load_pacer.h>
#include <placement/reporter.h>

namespace camphorgrade::agent {

/**
 * The service "fleet" of an agent: tells the reporter which gateways there are, and the load pacer
 * which agents, whenever the membership changes. Not thread safe.
 */
class agent_fleet final : public service, public membership::membership_listener {
public:
    std::string_view name() const noexcept override { return "fleet"; }
    void attach(micro_kernel& kernel) override;
    void on_nodes_changed(step& now) override;

private:
    membership::membership_service* membership_ = nullptr;
    placement::load_pacer* pacer_ = nullptr;
    placement::reporter* reporter_ = nullptr;
};

} // namespace camphorgrade::agent
