#pragma once

#include <kernel/effect.h>
#include <kernel/random.h>

#include <utility>
#include <vector>

namespace camphorgrade {

/**
 * The context in which a service handles one event: the time, the random number generator, the
 * identity of the node, and the list of effects. Valid for one event only. Not thread safe.
 *
 * @code
 * void my_service::on_timer(token, step& now) {
 *     now.emit(set_timer{std::string(name()), tick, now.time() + period});
 * }
 * @endcode
 */
class step {
public:
    step(time_point time, random_source& random, const node_id& self, incarnation self_incarnation,
         std::vector<effect>& effects)
        : time_(time), random_(&random), self_(&self), incarnation_(self_incarnation),
          effects_(&effects) {}

    /** The time at which the event is handled, by the clock of this node. */
    time_point time() const noexcept { return time_; }

    /** The random number generator of this node. */
    random_source& random() noexcept { return *random_; }

    /** The node that handles the event. */
    const node_id& self() const noexcept { return *self_; }

    /** The current incarnation of this node. */
    incarnation life() const noexcept { return incarnation_; }

    /** Adds an effect. Effects are carried out in this order after the event was handled. */
    void emit(effect next) { effects_->push_back(std::move(next)); }

    /** Adds an effect that sends `payload` to `service` of node `to`. */
    void send(const node_id& to, std::string service, std::string payload) {
        emit(send_message{{*self_, incarnation_, to, std::move(service), std::move(payload)}});
    }

private:
    time_point time_;
    random_source* random_;
    const node_id* self_;
    incarnation incarnation_;
    std::vector<effect>* effects_;
};

} // namespace camphorgrade
