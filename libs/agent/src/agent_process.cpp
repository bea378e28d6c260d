#include <agent/agent_process.h>

#include <agent/agent_services.h>

#include <node/backend_port.h>
#include <node/daemon_options.h>
#include <node/node_process.h>

namespace camphorgrade::agent {

namespace {

constexpr std::uint64_t operators_port_number = 1;
constexpr std::size_t operator_connections = 8;

} // namespace

int run_agent(const config::agent_settings& settings) {
    agent_parts parts;
    node_process process("camphor-agent", settings.node);
    if (!process.read_credentials(parts.common.operator_token)) {
        return exit_failed;
    }
    add_agent_services(process.kernel(), settings, parts);

    call_pool_settings calls;
    calls.max_running = settings.backend_threads;
    backend_port backend(process.events(), calls, call_limits{});
    process.add(backend);
    http_server_settings operators;
    operators.max_connections = operator_connections;
    const bool serving = process.serve(settings.node.operators_listen, "operators",
                                       operators_port_number, operators);
    return serving ? process.run() : exit_failed;
}

} // namespace camphorgrade::agent
