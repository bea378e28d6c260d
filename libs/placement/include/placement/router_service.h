#pragma once

#include <placement/router.h>

#include <kernel/service.h>

#include <string_view>

namespace camphorgrade::placement {

/**
 * The service "router" of a gateway: keeps a router up to date from agents' reports.
 * Not thread safe.
 *
 * @code
 * kernel.add(std::make_unique<router_service>(router_settings{}));
 * auto& routes = kernel.find<router_service>("router");
 * const route to = routes.choose(request, now);
 * @endcode
 */
class router_service final : public service {
public:
    static constexpr std::string_view service_name = "router";

    explicit router_service(router_settings settings);

    std::string_view name() const noexcept override { return service_name; }

    /** Where the request goes; see router::choose(). */
    route choose(const route_request& request, step& now);

    router& routes() noexcept { return router_; }

    /** The agent is gone for good: drops all that is kept of it. */
    void forget(const node_id& agent);

    void on_message(const message& received, step& now) override;

private:
    struct last_report {
        incarnation life;
        std::uint64_t sequence = 0;
        std::vector<slot_status> slots;
    };

    router router_;
    std::map<node_id, last_report> last_;
};

} // namespace camphorgrade::placement
