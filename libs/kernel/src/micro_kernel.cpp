#include <kernel/micro_kernel.h>

#include <utility>

namespace camphorgrade {

namespace {

/** Calls `function` with the service, unless `target` is null. */
template <typename Function>
void call_if_present(service* target, Function function) {
    if (target != nullptr) {
        function(*target);
    }
}

} // namespace

micro_kernel::micro_kernel(node_id self, incarnation self_incarnation, std::uint64_t seed)
    : self_(std::move(self)), incarnation_(self_incarnation), random_(seed) {}

void micro_kernel::add(std::unique_ptr<service> added) {
    CAMPHOR_PRECONDITION(!started_);
    CAMPHOR_PRECONDITION(!contains(added->name()));
    services_by_name_.emplace(std::string(added->name()), added.get());
    services_.push_back(std::move(added));
}

std::vector<effect> micro_kernel::start(time_point now) {
    CAMPHOR_PRECONDITION(!started_);
    started_ = true;
    last_event_time_ = now;
    for (const auto& each : services_) {
        each->attach(*this);
    }
    std::vector<effect> effects;
    step current(now, random_, self_, incarnation_, effects);
    for (const auto& each : services_) {
        each->start(current);
    }
    return effects;
}

std::vector<effect> micro_kernel::handle(const event& incoming, time_point now) {
    CAMPHOR_PRECONDITION(started_);
    CAMPHOR_PRECONDITION(now >= last_event_time_);
    last_event_time_ = now;
    std::vector<effect> effects;
    step current(now, random_, self_, incarnation_, effects);
    dispatch(incoming, current);
    return effects;
}

service* micro_kernel::find_service(std::string_view name) const {
    const auto found = services_by_name_.find(name);
    return found == services_by_name_.end() ? nullptr : found->second;
}

void micro_kernel::dispatch(const event& incoming, step& now) {
    struct visitor {
        micro_kernel& kernel;
        step& now;

        void operator()(const message_received& e) const {
            call_if_present(kernel.find_service(e.content.service),
                            [&](service& s) { s.on_message(e.content, now); });
        }
        void operator()(const timer_fired& e) const {
            call_if_present(kernel.find_service(e.service),
                            [&](service& s) { s.on_timer(e.id, now); });
        }
        void operator()(const kv_replied& e) const {
            call_if_present(kernel.find_service(e.service),
                            [&](service& s) { s.on_kv_reply(e.id, e.reply, now); });
        }
        void operator()(const caller_arrived& e) const {
            call_if_present(kernel.find_service(e.service),
                            [&](service& s) { s.on_caller(e, now); });
        }
        void operator()(const caller_gone& e) const {
            call_if_present(kernel.find_service(e.service),
                            [&](service& s) { s.on_caller_gone(e.request, now); });
        }
        void operator()(const call_progressed& e) const {
            call_if_present(kernel.find_service(e.service),
                            [&](service& s) { s.on_call(e.call, e.progress, now); });
        }
        void operator()(const shutdown_requested& /*e*/) const {
            for (const auto& each : kernel.services_) {
                each->on_shutdown(now);
            }
        }
    };
    std::visit(visitor{*this, now}, incoming);
}

} // namespace camphorgrade
