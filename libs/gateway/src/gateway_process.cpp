#include <gateway/gateway_process.h>

#include <gateway/front.h>
#include <gateway/gateway_fleet.h>
#include <gateway/gateway_status.h>

#include <node/backend_port.h>
#include <node/daemon_options.h>
#include <node/fleet_peers.h>
#include <node/key_withdrawals.h>
#include <node/node_process.h>
#include <node/operator_service.h>
#include <node/vm_list_service.h>

#include <memory>

namespace camphorgrade::gateway {

namespace {

constexpr std::uint64_t callers_port_number = 0;
constexpr std::uint64_t operators_port_number = 1;
constexpr std::size_t operator_connections = 8;

/** Adds the services that gateways have. `peers` and `withdrawals` outlive the kernel's use. */
void add_services(node_process& process, const config::gateway_settings& settings,
                  fleet_peers& peers, key_withdrawals& withdrawals) {
    auto& kernel = process.kernel();
    const membership::node_info self{kernel.self(),
                                     kernel.life(),
                                     membership::node_role::gateway,
                                     settings.node.data_centre,
                                     "",
                                     membership::node_state::active};
    config::configuration_options configuration;
    configuration.data_centre = settings.node.data_centre;

    auto nodes = std::make_unique<membership::membership_service>(self);
    peers.attach(*nodes);
    auto standing = std::make_unique<membership::standing_service>(self);
    standing->set_withdrawal_log(withdrawals);
    keys::key_service_options key_options;
    key_options.data_centre = settings.node.data_centre;
    auto known_keys = std::make_unique<keys::key_service>(key_options, peers);
    withdrawals.attach(*known_keys);

    kernel.add(std::make_unique<metrics>());
    kernel.add(std::make_unique<operator_service>());
    kernel.add(std::move(nodes));
    kernel.add(std::move(standing));
    kernel.add(std::make_unique<config::configuration_service>(configuration, peers));
    kernel.add(std::move(known_keys));
    kernel.add(std::make_unique<limits::limits_service>());
    kernel.add(std::make_unique<delivery::quarantine>(delivery::quarantine_settings{}, peers));
    kernel.add(std::make_unique<placement::router_service>(placement::router_settings{}));
    kernel.add(std::make_unique<forwarder>(delivery::delivery_settings{},
                                           delivery::retry_budget_settings{}));
    kernel.add(std::make_unique<vm_list_service>(settings.node.vm_list_endpoint));
    kernel.add(std::make_unique<gateway_fleet>());
    kernel.add(std::make_unique<front>(front_settings{settings.node.data_centre, {}, {}}));
}

} // namespace

int run_gateway(const config::gateway_settings& settings) {
    fleet_peers peers;
    key_withdrawals withdrawals;
    node_process process("camphor-gateway", settings.node);
    add_services(process, settings, peers, withdrawals);
    describe_gateway(process.kernel());

    // A gateway calls no backend server: only the list of VMs.
    backend_port platform_calls(process.events(), call_pool_settings{}, call_limits{});
    process.add(platform_calls);
    http_server_settings callers;
    callers.max_connections = settings.caller_threads;
    callers.certificate_path = settings.tls_certificate.value_or("");
    http_server_settings operators;
    operators.max_connections = operator_connections;
    const bool serving =
        process.serve(settings.callers_listen, "front", callers_port_number, callers) &&
        process.serve(settings.node.operators_listen, "operators", operators_port_number,
                      operators);
    return serving ? process.run() : exit_failed;
}

} // namespace camphorgrade::gateway
