#include <gateway/gateway_fleet.h>

#include <kernel/micro_kernel.h>

#include <utility>

namespace camphorgrade::gateway {

void gateway_fleet::attach(micro_kernel& kernel) {
    membership_ = &kernel.find<membership::membership_service>("membership");
    router_ = &kernel.find<placement::router_service>("router");
    membership_->add_listener(*this);
    kernel.find<vm_list_service>("vm_list").add_listener(*this);
}

void gateway_fleet::on_nodes_changed(step& /*now*/) {
    update();
}

void gateway_fleet::on_leaving_vms(const std::set<std::string>& leaving, step& /*now*/) {
    leaving_vms_ = leaving;
    update();
}

void gateway_fleet::update() {
    std::set<node_id> unavailable;
    std::set<node_id> present;
    for (const auto& each : membership_->nodes()) {
        present.insert(each.address);
        const bool leaving = each.state == membership::node_state::leaving;
        if (leaving || names_node(leaving_vms_, each.address)) {
            unavailable.insert(each.address);
        }
    }
    router_->routes().set_unavailable(std::move(unavailable));
    for (const auto& each : known_) {
        if (!present.contains(each)) {
            router_->forget(each);
        }
    }
    known_ = std::move(present);
}

} // namespace camphorgrade::gateway
