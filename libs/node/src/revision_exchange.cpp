#include <node/revision_exchange.h>

#include <kernel/micro_kernel.h>

namespace camphorgrade {

void revision_exchange::attach(micro_kernel& kernel) {
    configuration_ = &kernel.find<config::configuration_service>("configuration");
    standing_ = &kernel.find<membership::standing_service>("standing");
    configuration_->add_listener(*this);
    standing_->add_listener(*this);
}

void revision_exchange::configuration_changed(const config::operators_text& /*text*/,
                                              std::uint64_t revision, step& /*now*/) {
    standing_->set_configuration_revision(revision);
}

void revision_exchange::on_epoch_changed(step& /*now*/) {}

void revision_exchange::on_configuration_heard(std::uint64_t revision, const node_id& from,
                                               step& now) {
    configuration_->revision_heard(revision, from, now);
}

} // namespace camphorgrade
