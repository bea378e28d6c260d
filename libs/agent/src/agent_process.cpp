#include <agent/agent_process.h>

#include <agent/agent_fleet.h>
#include <agent/agent_status.h>
#include <agent/backend_service.h>
#include <agent/fencing_service.h>
#include <agent/vllm_driver.h>

#include <node/backend_port.h>
#include <node/daemon_options.h>
#include <node/fleet_peers.h>
#include <node/key_withdrawals.h>
#include <node/node_process.h>
#include <node/operator_service.h>
#include <node/vm_list_service.h>

#include <memory>

namespace camphorgrade::agent {

namespace {

constexpr std::uint64_t operators_port_number = 1;
constexpr std::size_t operator_connections = 8;
constexpr placement::store_limit default_store_limit{};

/** What the services use and do not own. Outlives the kernel. */
struct shared_parts {
    fleet_peers peers;
    key_withdrawals withdrawals;
    vllm_driver driver;
};

void add_services(node_process& process, const config::agent_settings& settings,
                  shared_parts& shared) {
    auto& kernel = process.kernel();
    const membership::node_info self{kernel.self(),
                                     kernel.life(),
                                     membership::node_role::agent,
                                     settings.node.data_centre,
                                     settings.backend_server,
                                     membership::node_state::active};
    config::configuration_options configuration;
    configuration.data_centre = settings.node.data_centre;

    auto nodes = std::make_unique<membership::membership_service>(self);
    shared.peers.attach(*nodes);
    auto standing = std::make_unique<membership::standing_service>(self);
    standing->set_withdrawal_log(shared.withdrawals);
    keys::key_service_options key_options;
    key_options.data_centre = settings.node.data_centre;
    auto known_keys = std::make_unique<keys::key_service>(key_options, shared.peers);
    shared.withdrawals.attach(*known_keys);
    backend_settings own;
    own.backend_server = settings.backend_server;
    own.data_centre = settings.node.data_centre;
    auto backend = std::make_unique<backend_service>(own, shared.driver);
    auto fencing = std::make_unique<fencing_service>(settings.backend_server, *backend);

    kernel.add(std::make_unique<metrics>());
    kernel.add(std::make_unique<operator_service>());
    kernel.add(std::move(nodes));
    kernel.add(std::move(standing));
    kernel.add(std::make_unique<config::configuration_service>(configuration, shared.peers));
    kernel.add(std::move(known_keys));
    kernel.add(
        std::make_unique<delivery::quarantine>(delivery::quarantine_settings{}, shared.peers));
    kernel.add(std::make_unique<delivery::once_records>(delivery::once_settings{}));
    kernel.add(std::make_unique<placement::load_director>(default_store_limit));
    kernel.add(std::make_unique<placement::load_pacer>(default_store_limit));
    kernel.add(std::make_unique<placement::reporter>(placement::reporter_settings{}));
    kernel.add(std::move(fencing));
    kernel.add(std::move(backend));
    kernel.add(std::make_unique<agent_fleet>());
    kernel.add(std::make_unique<vm_list_service>(settings.node.vm_list_endpoint));
}

} // namespace

int run_agent(const config::agent_settings& settings) {
    shared_parts shared;
    node_process process("camphor-agent", settings.node);
    add_services(process, settings, shared);
    describe_agent(process.kernel());

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
