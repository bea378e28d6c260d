#include <gateway/service_health.h>

#include <kernel/micro_kernel.h>

#include <algorithm>

namespace camphorgrade::gateway {

namespace {

constexpr duration update_period{500};
constexpr token update_token = 1;

} // namespace

void service_health::attach(micro_kernel& kernel) {
    membership_ = &kernel.find<membership::membership_service>("membership");
    router_ = &kernel.find<placement::router_service>("router");
    kernel.find<config::configuration_service>("configuration").add_listener(*this);
}

void service_health::start(step& now) {
    now.emit(set_timer{std::string(name()), update_token, now.time() + update_period});
}

void service_health::on_timer(token /*id*/, step& now) {
    update(now);
    now.emit(set_timer{std::string(name()), update_token, now.time() + update_period});
}

void service_health::configuration_changed(const config::operators_text& text,
                                           std::uint64_t /*revision*/, step& now) {
    text_ = &text;
    view_.reset();
    update(now);
}

const config::unavailability* service_health::why_unavailable(const std::string& wanted) const {
    if (!view_) {
        return nullptr;
    }
    const auto found = view_->unavailable().find(wanted);
    return found == view_->unavailable().end() ? nullptr : &found->second;
}

bool service_health::is_up(const config::backend_server_spec& server) const {
    const auto agents = membership_->live_agents();
    return std::any_of(agents.begin(), agents.end(), [&](const membership::node_info& each) {
        return each.backend_server == server.name &&
               router_->routes().is_ready(each.address, updated_at_);
    });
}

void service_health::update(step& now) {
    if (text_ == nullptr) {
        return;
    }
    updated_at_ = now.time();
    config::dependency_view next(*text_, *this);
    if (view_ && next == *view_) {
        return;
    }
    for (const auto& [affected, why] : next.unavailable()) {
        now.emit(write_log{log_level::warning,
                           "service_unavailable",
                           {{"service", affected}, {"reason", config::to_string(why)}}});
    }
    if (view_ && next.unavailable().empty()) {
        now.emit(write_log{log_level::info, "all_services_available", {}});
    }
    view_ = std::move(next);
}

} // namespace camphorgrade::gateway
