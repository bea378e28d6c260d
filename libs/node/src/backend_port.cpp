#include <node/backend_port.h>

#include <node/endpoint.h>

#include <utility>

namespace camphorgrade {

backend_port::backend_port(inbox& events, const call_pool_settings& settings,
                           const call_limits& limits)
    : inbox_(events), limits_(limits), pool_(settings, *this) {}

backend_port::~backend_port() {
    pool_.stop();
}

bool backend_port::carry_out(const effect& wanted) {
    if (const auto* call = std::get_if<call_backend>(&wanted)) {
        start(*call);
        return true;
    }
    if (const auto* cancelled = std::get_if<cancel_call>(&wanted)) {
        pool_.cancel(cancelled->call);
        return true;
    }
    return false;
}

void backend_port::start(const call_backend& wanted) {
    {
        const std::lock_guard lock(mutex_);
        services_[wanted.call] = wanted.service;
    }
    const auto server = parse_endpoint(wanted.endpoint);
    if (!server || !pool_.submit(wanted.call, *server, wanted.request, limits_)) {
        on_call_progress(wanted.call, call_failure{call_failure_kind::not_sent});
    }
}

void backend_port::on_call_progress(call_id id, call_progress progress) {
    const bool over = std::holds_alternative<http_end>(progress) ||
                      std::holds_alternative<call_failure>(progress);
    std::string service;
    {
        const std::lock_guard lock(mutex_);
        const auto found = services_.find(id);
        if (found == services_.end()) {
            return;
        }
        service = found->second;
        if (over) {
            services_.erase(found);
        }
    }
    inbox_.post(call_progressed{std::move(service), id, std::move(progress)});
}

} // namespace camphorgrade
