#include <node/common_services.h>

#include <config/configuration_service.h>
#include <delivery/quarantine.h>
#include <keys/key_service.h>
#include <membership/membership_service.h>
#include <membership/standing_service.h>
#include <node/operator_service.h>
#include <node/revision_exchange.h>
#include <node/vm_list_service.h>
#include <telemetry/metrics.h>

#include <memory>
#include <utility>

namespace camphorgrade {

void add_common_services(micro_kernel& kernel, const config::node_settings& settings,
                         membership::node_role role, const std::string& backend_server,
                         common_parts& parts) {
    const membership::node_info self{kernel.self(),  kernel.life(),
                                     role,           settings.data_centre,
                                     backend_server, membership::node_state::active};
    config::configuration_options configuration;
    configuration.data_centre = settings.data_centre;
    keys::key_service_options key_options;
    key_options.data_centre = settings.data_centre;

    auto nodes = std::make_unique<membership::membership_service>(self);
    parts.peers.attach(*nodes);
    auto standing = std::make_unique<membership::standing_service>(self);
    standing->set_withdrawal_log(parts.withdrawals);
    auto known_keys = std::make_unique<keys::key_service>(key_options, parts.peers);
    parts.withdrawals.attach(*known_keys);

    kernel.add(std::make_unique<metrics>());
    kernel.add(std::make_unique<operator_service>(parts.operator_token));
    kernel.add(std::move(nodes));
    kernel.add(std::move(standing));
    kernel.add(std::make_unique<config::configuration_service>(configuration, parts.peers));
    kernel.add(std::move(known_keys));
    kernel.add(std::make_unique<revision_exchange>());
    kernel.add(
        std::make_unique<delivery::quarantine>(delivery::quarantine_settings{}, parts.peers));
    kernel.add(std::make_unique<vm_list_service>(settings.vm_list_endpoint));
}

} // namespace camphorgrade
