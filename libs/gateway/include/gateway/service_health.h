#pragma once

#include <config/availability.h>
#include <config/configuration_service.h>
#include <kernel/service.h>
#include <membership/membership_service.h>
#include <placement/router_service.h>

#include <optional>
#include <string>

namespace camphorgrade::gateway {

/**
 * The service "service_health" of a gateway: knows which services of the operators' text can be
 * served, by the agents that report and by what each service depends on. A service comes back by
 * itself with what it lacked. Not thread safe.
 *
 * @code
 * if (const auto* why = health.why_unavailable("booking")) { refuse(); }
 * @endcode
 */
class service_health final : public service,
                             public config::configuration_listener,
                             private config::backend_liveness {
public:
    std::string_view name() const noexcept override { return "service_health"; }
    void attach(micro_kernel& kernel) override;
    void start(step& now) override;
    void on_timer(token id, step& now) override;
    void configuration_changed(const config::operators_text& text, std::uint64_t revision,
                               step& now) override;

    /** Null when the service can be served, or is not in the text. */
    const config::unavailability* why_unavailable(const std::string& wanted) const;

    /** All that can't be served; null while there is no text. */
    const config::dependency_view* view() const { return view_ ? &*view_ : nullptr; }

private:
    bool is_up(const config::backend_server_spec& server) const override;
    void update(step& now);

    const config::operators_text* text_ = nullptr;
    membership::membership_service* membership_ = nullptr;
    placement::router_service* router_ = nullptr;
    time_point updated_at_{};
    std::optional<config::dependency_view> view_;
};

} // namespace camphorgrade::gateway
