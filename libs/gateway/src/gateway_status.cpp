#include <gateway/gateway_status.h>

#include <gateway/front.h>

#include <node/operator_service.h>
#include <node/status_sections.h>

#include <nlohmann/json.hpp>

namespace camphorgrade::gateway {

namespace {

using nlohmann::json;

json describe_limits(const limits::limits_service& limits, time_point now) {
    json accounts = json::object();
    for (const auto& each : limits.metrics(now)) {
        accounts[each.client_account] = {{"level_tokens", each.level_tokens},
                                         {"rate_share", each.rate_share},
                                         {"burst_share", each.burst_share},
                                         {"granted", each.granted},
                                         {"granted_tokens", each.granted_tokens},
                                         {"credited_tokens", each.credited_tokens},
                                         {"waiting", each.waiting},
                                         {"refused_over_rate", each.refused_over_rate}};
    }
    return accounts;
}

json describe_health(const service_health& health) {
    json unavailable = json::object();
    if (const auto* view = health.view()) {
        for (const auto& [name, why] : view->unavailable()) {
            unavailable[name] = config::to_string(why);
        }
    }
    return unavailable;
}

void publish_limits(const limits::limits_service& limits, metrics& all, time_point now) {
    for (const auto& each : limits.metrics(now)) {
        const metric_labels account{{"client_account", each.client_account}};
        all.set("camphor_account_level_tokens", account, each.level_tokens);
        all.set("camphor_account_rate_share_ratio", account, each.rate_share);
        all.set("camphor_account_waiting_requests", account, static_cast<double>(each.waiting));
        all.set("camphor_account_granted_tokens", account,
                static_cast<double>(each.granted_tokens));
        all.set("camphor_account_refused_over_rate_requests", account,
                static_cast<double>(each.refused_over_rate));
    }
}

} // namespace

void describe_gateway(micro_kernel& kernel) {
    auto& operators = kernel.find<operator_service>("operators");
    auto& callers = kernel.find<front>("front");
    auto& limits = kernel.find<limits::limits_service>("limits");
    auto& forward = kernel.find<forwarder>("forward");
    add_common_sections(kernel);
    operators.add_gauges([&limits, &forward](metrics& all, time_point now) {
        publish_limits(limits, all, now);
        all.set("camphor_open_requests", {}, static_cast<double>(forward.open()));
    });
    operators.set_ready([&callers](time_point now) { return callers.ready(now); });
    operators.add_section("client_accounts",
                          [&limits](time_point now) { return describe_limits(limits, now); });
    auto& router = kernel.find<placement::router_service>("router");
    operators.add_section("router", [&router](time_point now) {
        return json{{"ready_agents", router.routes().ready_agents(now)}};
    });
    auto& health = kernel.find<service_health>("service_health");
    operators.add_section("unavailable_services",
                          [&health](time_point /*now*/) { return describe_health(health); });
    operators.add_section("requests", [&forward](time_point /*now*/) {
        return json{{"open", forward.open()}};
    });
}

} // namespace camphorgrade::gateway
