#pragma once

#include <config/configuration_service.h>
#include <kernel/service.h>
#include <membership/standing_service.h>

namespace camphorgrade {

/**
 * The service "revision_exchange": lets news of newer configuration revisions travel with the
 * probes of standing. Not thread safe.
 */
class revision_exchange final : public service,
                                public config::configuration_listener,
                                public membership::standing_listener {
public:
    std::string_view name() const noexcept override { return "revision_exchange"; }
    void attach(micro_kernel& kernel) override;

    void configuration_changed(const config::operators_text& text, std::uint64_t revision,
                               step& now) override;
    void on_epoch_changed(step& now) override;
    void on_configuration_heard(std::uint64_t revision, const node_id& from, step& now) override;

private:
    config::configuration_service* configuration_ = nullptr;
    membership::standing_service* standing_ = nullptr;
};

} // namespace camphorgrade
