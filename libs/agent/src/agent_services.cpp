#include <agent/agent_services.h>

#include <agent/agent_fleet.h>
#include <agent/agent_status.h>
#include <agent/backend_service.h>
#include <agent/fencing_service.h>

#include <placement/load_director.h>

#include <memory>
#include <utility>

namespace camphorgrade::agent {

namespace {

constexpr placement::store_limit default_store_limit{};

} // namespace

void add_agent_services(micro_kernel& kernel, const config::agent_settings& settings,
                        agent_parts& parts) {
    add_common_services(kernel, settings.node, membership::node_role::agent,
                        settings.backend_server, parts.common);
    backend_settings own;
    own.backend_server = settings.backend_server;
    own.data_centre = settings.node.data_centre;
    auto backend = std::make_unique<backend_service>(own, parts.driver);
    auto fencing = std::make_unique<fencing_service>(settings.backend_server, *backend);
    kernel.add(std::make_unique<delivery::once_records>(delivery::once_settings{}));
    kernel.add(std::make_unique<placement::load_director>(default_store_limit));
    kernel.add(std::make_unique<placement::load_pacer>(default_store_limit));
    kernel.add(std::make_unique<placement::reporter>(placement::reporter_settings{}));
    kernel.add(std::move(fencing));
    kernel.add(std::move(backend));
    kernel.add(std::make_unique<agent_fleet>());
    describe_agent(kernel);
}

} // namespace camphorgrade::agent
