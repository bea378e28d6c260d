#include <gateway/gateway_process.h>

#include <gateway/gateway_services.h>

#include <node/backend_port.h>
#include <node/daemon_options.h>
#include <node/node_process.h>

namespace camphorgrade::gateway {

namespace {

constexpr std::uint64_t callers_port_number = 0;
constexpr std::uint64_t operators_port_number = 1;
constexpr std::size_t operator_connections = 8;

} // namespace

int run_gateway(const config::gateway_settings& settings) {
    common_parts parts;
    node_process process("camphor-gateway", settings.node);
    if (!process.read_credentials(parts.operator_token)) {
        return exit_failed;
    }
    add_gateway_services(process.kernel(), settings, parts);

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
