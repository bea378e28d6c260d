#include "platform_daemon.h"

#include <edge/stop_signals.h>
#include <engine_agent/agent_process.h>
#include <platform/engine_client.h>

namespace camphorgrade {

namespace {

int run(const platform::platform_settings& settings, const daemon_options& chosen) {
    engine_agent::agent_settings agent;
    agent.node_name = settings.node_name;
    agent.peer_address = {settings.ip, settings.first_port};
    agent.metrics_address = {settings.ip, chosen.metrics_port};
    agent.incarnation = process_incarnation();
    agent.adapters.defers_less_urgent_loads = settings.is_overload_expected;
    const edge::upstream_address engine{
        {boost::asio::ip::make_address(settings.backend.ip), settings.backend.port}, {}};
    return engine_agent::run_agent(agent, [&](edge::buffered_calls& calls) {
        return std::make_unique<platform::engine_client>(calls, engine, settings.node_name,
                                                         platform::engine_client_settings{});
    });
}

} // namespace

} // namespace camphorgrade

int main(int argc, char** argv) {
    camphorgrade::edge::defer_stop_signals();
    return camphorgrade::run_platform_daemon("camphor-engine-agent", argc, argv, camphorgrade::run);
}
