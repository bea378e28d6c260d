#include "gateway_node.h"

#include "part_state_log.h"

#include <cmath>
#include <variant>

namespace camphorgrade::entry {

void gateway_node::execute_effects() {
    log_retry_decisions();
    for (auto effects = dispatcher_.take_effects(); !effects.empty();
         effects = dispatcher_.take_effects()) {
        peers_.demand_changed();
        peers_.permits_changed();
        for (const auto& each : effects) {
            std::visit([this](const auto& effect) { execute(effect); }, each);
        }
    }
    log_part_changes();
}

void gateway_node::log_part_changes() {
    for (const auto& each : dispatcher_.parts().take_changes()) {
        log_part_change(log_, each);
        metrics_.count("camphor_prompt_part_states_total",
                       {{"state", std::string(to_string(each.state))}});
    }
}

void gateway_node::log_retry_decisions() {
    for (const auto& each : dispatcher_.take_retry_decisions()) {
        log_.line("retry_decided", log_category::failure)
            .text("request", correlation_id_of(each.request))
            .text("decision", to_string(each.decision))
            .text("service", each.service)
            .number("requests", static_cast<std::int64_t>(each.usage.requests))
            .number("retries", static_cast<std::int64_t>(each.usage.retries))
            .decimal("allowed_retries", each.usage.allowed)
            .number("known_gateways", static_cast<std::int64_t>(each.usage.known_gateways))
            .number("live_gateways", static_cast<std::int64_t>(each.usage.live_gateways));
        metrics_.count("camphor_retry_decisions_total",
                       {{"decision", std::string(to_string(each.decision))}});
    }
}

void gateway_node::execute(const serving::end_request& effect) {
    const auto found = flows_.find(effect.request);
    if (found == flows_.end()) {
        return;
    }
    log_end(effect, found->second->correlation_id());
    metrics_.count("camphor_ended_requests_total",
                   {{"reason", std::string(to_string(effect.reason))}});
    shutdown_.on_request_ended(effect.reason, found->second->has_response_started());
    found->second->finish(effect);
}

void gateway_node::log_end(const serving::end_request& effect, const std::string& correlation_id) {
    const auto account = dispatcher_.account_of(effect.request);
    auto line = log_.line("request_ended", log_category::failure);
    line.text("request", correlation_id)
        .text("reason", to_string(effect.reason))
        .text("account", account)
        .number("retry_after_ms", effect.retry_after.count())
        .number("open_requests", static_cast<std::int64_t>(flows_.size()))
        .number("store_age_ms", fleet_.data_age().count());
    if (effect.held_part) {
        line.text("part", part_name(*effect.held_part));
    }
    if (effect.reason == serving::end_reason::over_rate) {
        const auto bucket = dispatcher_.limiter().bucket_state(account);
        line.number("cost", static_cast<std::int64_t>(effect.refused_cost))
            .number("level", static_cast<std::int64_t>(bucket.level))
            .number("rate_per_s", static_cast<std::int64_t>(bucket.rate_per_s))
            .flag("reserved", effect.is_return_reserved)
            .number("audible_peers",
                    static_cast<std::int64_t>(dispatcher_.limiter().reporting_peers(now())));
    }
}

void gateway_node::execute(const serving::send_attempt& effect) {
    const auto found = flows_.find(effect.request);
    if (found == flows_.end()) {
        return;
    }
    auto line = log_.line("attempt_sent");
    line.text("request", found->second->correlation_id())
        .text("account", dispatcher_.account_of(effect.request))
        .text("backend_server", effect.backend_id)
        .number("attempt", effect.attempt_number)
        .number("waited_ms", effect.queue_time.count())
        .number("prompt_tokens", static_cast<std::int64_t>(effect.prompt_tokens))
        .number("urgency", effect.urgency)
        .number("weights_version", static_cast<std::int64_t>(effect.expected_version));
    if (effect.limit) {
        line.decimal("limit_per_s", effect.limit->requests_per_s)
            .number("limit_age_ms", (now() - effect.limit->confirmed_at).count());
        metrics_.count("camphor_limited_attempts_total");
    }
    found->second->start_attempt(effect);
}

void gateway_node::execute(const serving::wait_for_backend& effect) {
    const auto found = flows_.find(effect.request);
    if (found == flows_.end()) {
        return;
    }
    if (effect.permit_wait > duration::zero()) {
        log_permit_wait(effect, found->second->correlation_id());
        return;
    }
    log_.line("waiting_for_adapter")
        .text("request", found->second->correlation_id())
        .text("backend_server", effect.backend_id)
        .number("estimate_ms", effect.time_to_first_byte.count())
        .number("loads_under_way", dispatcher_.backends().loads_under_way())
        .number("full_speed_loads",
                std::llround(dispatcher_.backends().load_times().full_speed_loads()));
}

void gateway_node::log_permit_wait(const serving::wait_for_backend& effect,
                                   const std::string& correlation_id) {
    const auto* view = dispatcher_.backends().find(effect.backend_id);
    auto line = log_.line("waiting_for_permit");
    line.text("request", correlation_id)
        .text("backend_server", effect.backend_id)
        .number("estimate_ms", effect.time_to_first_byte.count())
        .number("permit_wait_ms", effect.permit_wait.count());
    if (view == nullptr) {
        return;
    }
    const auto server = view->server.process();
    const auto replied_at = dispatcher_.permits().last_reply_at(server);
    line.text("granter", dispatcher_.permits().granter_of(server))
        .number("reply_age_ms", replied_at == time_point{} ? -1 : (now() - replied_at).count());
}

void gateway_node::execute(const serving::stream_resumption& effect) {
    constexpr duration none{-1};
    const auto history = effect.history.value_or(serving::known_period{none, none});
    log_.line("stream_resumption", log_category::failure)
        .text("request", correlation_id_of(effect.request))
        .text("origin", to_string(effect.source))
        .text("software_version", effect.version)
        .number("known_versions", static_cast<std::int64_t>(effect.known_versions))
        .number("registrations_age_ms", effect.registrations_age.value_or(none).count())
        .number("history_from_age_ms", history.from_age.count())
        .number("history_until_age_ms", history.until_age.count());
    metrics_.count("camphor_stream_resumptions_total",
                   {{"origin", std::string(to_string(effect.source))}});
}

void gateway_node::execute(const serving::limit_changed& effect) {
    constexpr double no_limit = -1;
    log_.line("backend_server_limit")
        .text("request", correlation_id_of(effect.request))
        .text("peer", effect.peer)
        .text("backend_server", effect.change.server.id)
        .decimal("limit_per_s", effect.change.after.value_or(no_limit))
        .decimal("limit_before_per_s", effect.change.before.value_or(no_limit));
}

} // namespace camphorgrade::entry
