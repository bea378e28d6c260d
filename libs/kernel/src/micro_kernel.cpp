#include <kernel/micro_kernel.h>

#include <utility>

namespace camphorgrade {

namespace {

/** Calls `act` with the service, unless this node has none of that name. */
template <typename Act>
void with(service* target, Act act) {
    if (target != nullptr) {
        act(*target);
    }
}

} // namespace

micro_kernel::micro_kernel(node_id self, incarnation life, std::uint64_t seed)
    : self_(std::move(self)), life_(life), random_(seed) {}

void micro_kernel::add(std::unique_ptr<service> added) {
    CAMPHOR_PRECONDITION(!started_);
    CAMPHOR_PRECONDITION(!contains(added->name()));
    by_name_.emplace(std::string(added->name()), added.get());
    in_order_.push_back(std::move(added));
}

std::vector<effect> micro_kernel::start(time_point now) {
    CAMPHOR_PRECONDITION(!started_);
    started_ = true;
    last_ = now;
    for (const auto& each : in_order_) {
        each->attach(*this);
    }
    std::vector<effect> effects;
    step current(now, random_, self_, life_, effects);
    for (const auto& each : in_order_) {
        each->start(current);
    }
    return effects;
}

std::vector<effect> micro_kernel::handle(const event& happened, time_point now) {
    CAMPHOR_PRECONDITION(started_);
    CAMPHOR_PRECONDITION(now >= last_);
    last_ = now;
    std::vector<effect> effects;
    step current(now, random_, self_, life_, effects);
    dispatch(happened, current);
    return effects;
}

service* micro_kernel::find_any(std::string_view name) const {
    const auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
}

void micro_kernel::dispatch(const event& happened, step& now) {
    struct visitor {
        micro_kernel& kernel;
        step& now;

        void operator()(const message_received& e) const {
            with(kernel.find_any(e.content.service),
                 [&](service& s) { s.on_message(e.content, now); });
        }
        void operator()(const timer_fired& e) const {
            with(kernel.find_any(e.service), [&](service& s) { s.on_timer(e.id, now); });
        }
        void operator()(const kv_replied& e) const {
            with(kernel.find_any(e.service),
                 [&](service& s) { s.on_kv_reply(e.id, e.reply, now); });
        }
        void operator()(const caller_arrived& e) const {
            with(kernel.find_any(e.service), [&](service& s) { s.on_caller(e, now); });
        }
        void operator()(const caller_gone& e) const {
            with(kernel.find_any(e.service), [&](service& s) { s.on_caller_gone(e.request, now); });
        }
        void operator()(const call_progressed& e) const {
            with(kernel.find_any(e.service),
                 [&](service& s) { s.on_call(e.call, e.progress, now); });
        }
        void operator()(const shutdown_requested& /*e*/) const {
            for (const auto& each : kernel.in_order_) {
                each->on_shutdown(now);
            }
        }
    };
    std::visit(visitor{*this, now}, happened);
}

} // namespace camphorgrade
