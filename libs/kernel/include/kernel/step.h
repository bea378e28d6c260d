#pragma once

#include <kernel/effect.h>
#include <kernel/random.h>

#include <utility>
#include <vector>

namespace camphorgrade {

/**
 * What a service sees of the world while it handles one event: the time, random numbers, the
 * identity of its node, and a place to put effects. Lives for one event. Not thread safe.
 *
 * @code
 * void my_service::on_timer(token, step& now) {
 *     now.emit(set_timer{std::string(name()), tick, now.time() + period});
 * }
 * @endcode
 */
class step {
public:
    step(time_point time, random_source& random, const node_id& self, incarnation life,
         std::vector<effect>& effects)
        : time_(time), random_(&random), self_(&self), life_(life), effects_(&effects) {}

    /** When the event is handled, by the node's own clock. */
    time_point time() const noexcept { return time_; }

    random_source& random() noexcept { return *random_; }

    /** The node that handles the event. */
    const node_id& self() const noexcept { return *self_; }

    /** The node's current life. */
    incarnation life() const noexcept { return life_; }

    /** Adds an effect; effects are carried out in this order after the event is handled. */
    void emit(effect next) { effects_->push_back(std::move(next)); }

    /** Sends `payload` to `service` in node `to`. */
    void send(const node_id& to, std::string service, std::string payload) {
        emit(send_message{{*self_, life_, to, std::move(service), std::move(payload)}});
    }

private:
    time_point time_;
    random_source* random_;
    const node_id* self_;
    incarnation life_;
    std::vector<effect>* effects_;
};

} // namespace camphorgrade
