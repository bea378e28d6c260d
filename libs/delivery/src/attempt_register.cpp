#include <delivery/attempt_register.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::delivery {

attempt_register::attempt_register(incarnation self, duration keep) : self_(self), keep_(keep) {
    CAMPHOR_PRECONDITION(keep > duration{0});
}

arrival attempt_register::arrive(const attempt_id& id, incarnation target, time_point now) {
    forget(now);
    const auto known = seen_.find(id);
    if (known != seen_.end()) {
        return known->second.cancelled ? arrival::cancelled : arrival::duplicate;
    }
    if (target != incarnation{} && target != self_) {
        return arrival::wrong_life;
    }
    if (is_stale(id)) {
        return arrival::stale;
    }
    remember(id, false, now);
    return arrival::fresh;
}

void attempt_register::cancel(const attempt_id& id, time_point now) {
    forget(now);
    if (seen_.contains(id) || is_stale(id)) {
        return;
    }
    remember(id, true, now);
}

bool attempt_register::is_stale(const attempt_id& id) {
    gateway_state& gateway = gateways_[id.gateway];
    if (id.gateway_life > gateway.life) {
        gateway = {id.gateway_life, 0};
    }
    return id.gateway_life < gateway.life || id.request.value() < gateway.forgotten_below;
}

void attempt_register::remember(const attempt_id& id, bool cancelled, time_point now) {
    seen_.emplace(id, seen_state{cancelled, now});
    by_age_.emplace(now, id);
}

void attempt_register::forget(time_point now) {
    while (!by_age_.empty() && by_age_.begin()->first + keep_ <= now) {
        const attempt_id id = by_age_.begin()->second;
        gateway_state& gateway = gateways_[id.gateway];
        if (gateway.life == id.gateway_life) {
            gateway.forgotten_below = std::max(gateway.forgotten_below, id.request.value() + 1);
        }
        seen_.erase(id);
        by_age_.erase(by_age_.begin());
    }
}

} // namespace camphorgrade::delivery
