#include <gateway/gateway_services.h>

#include <gateway/front.h>
#include <gateway/gateway_fleet.h>
#include <gateway/gateway_status.h>
#include <gateway/service_health.h>

#include <memory>

namespace camphorgrade::gateway {

void add_gateway_services(micro_kernel& kernel, const config::gateway_settings& settings,
                          common_parts& parts) {
    add_common_services(kernel, settings.node, membership::node_role::gateway, "", parts);
    kernel.add(std::make_unique<limits::limits_service>());
    kernel.add(std::make_unique<placement::router_service>(placement::router_settings{}));
    kernel.add(std::make_unique<forwarder>(delivery::delivery_settings{},
                                           delivery::retry_budget_settings{}));
    kernel.add(std::make_unique<gateway_fleet>());
    kernel.add(std::make_unique<service_health>());
    front_settings callers;
    callers.data_centre = settings.node.data_centre;
    kernel.add(std::make_unique<front>(callers));
    describe_gateway(kernel);
}

} // namespace camphorgrade::gateway
