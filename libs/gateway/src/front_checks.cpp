// What is checked of a caller's request before it is charged.
#include <gateway/front.h>

#include <telemetry/trace.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace camphorgrade::gateway {

namespace {

using delivery::not_run;
using delivery::refusal_type;

constexpr duration retry_soon{1'000};
constexpr std::size_t max_idempotency_key_bytes = 256;
constexpr std::size_t most_models_listed = 10'000;

bool is_valid_idempotency_key(const std::string& key) {
    const bool printable =
        std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
    return !key.empty() && key.size() <= max_idempotency_key_bytes && printable;
}

} // namespace

front::checked front::check(const caller_arrived& arrived, step& now) const {
    if (!drain_.accepts_new()) {
        return not_run(refusal_type::leaving, retry_soon);
    }
    const auto found = find_route(arrived.content);
    if (const auto* refused = std::get_if<delivery::refusal>(&found)) {
        return *refused;
    }
    if (text_ == nullptr) {
        return not_run(refusal_type::service_unavailable, retry_soon);
    }
    if (arrived.content.body.size() > text_->requests().max_body_bytes) {
        return not_run(refusal_type::request_too_large);
    }
    const auto& to = std::get<route>(found);
    switch (to.kind) {
    case route_kind::completion:
        return check_completion(arrived, false, now);
    case route_kind::chat_completion:
        return check_completion(arrived, true, now);
    case route_kind::plain_service:
        return check_plain(arrived, to, now);
    case route_kind::list_models:
        break;
    }
    open_request listing;
    if (const auto refused = check_key(arrived, {}, listing)) {
        return *refused;
    }
    return listing;
}

std::optional<delivery::refusal> front::check_key(const caller_arrived& arrived,
                                                  const config::service_spec& spec,
                                                  open_request& out) const {
    const auto presented = presented_key(arrived.content.headers);
    if (const auto* refused = std::get_if<delivery::refusal>(&presented)) {
        return *refused;
    }
    if (spec.access == config::service_access::open) {
        return std::nullopt;
    }
    const auto& key = std::get<std::optional<std::string>>(presented);
    if (!key) {
        return not_run(refusal_type::missing_key);
    }
    const auto checked_key = keys_->check(*key);
    const auto* accepted = std::get_if<keys::key_accepted>(&checked_key);
    if (accepted == nullptr) {
        return not_run(refusal_type::invalid_key);
    }
    out.client_account = accepted->client_account;
    out.key = accepted->id;
    return std::nullopt;
}

front::checked front::check_completion(const caller_arrived& arrived, bool chat, step& now) const {
    const auto& limits = text_->requests();
    const auto parsed = parse_completion_request(arrived.content.body, chat,
                                                 {limits.max_tokens, limits.default_max_tokens});
    if (const auto* refused = std::get_if<delivery::refusal>(&parsed)) {
        return *refused;
    }
    const auto& wanted = std::get<completion_request>(parsed);
    const auto adapter = text_->resolve_adapter(wanted.model);
    const auto* spec = adapter ? text_->service_of_adapter(adapter->name) : nullptr;
    open_request out;
    const config::service_spec keyed;
    if (const auto refused = check_key(arrived, spec != nullptr ? *spec : keyed, out)) {
        return *refused; // callers without a key learn nothing of which adapters there are
    }
    if (spec == nullptr) {
        return not_run(refusal_type::unknown_adapter);
    }
    const std::string full_name = to_string(*adapter);
    auto& attempt = out.order.attempt;
    attempt.set_adapter(full_name);
    attempt.set_path(arrived.content.path);
    attempt.set_body(engine_body(arrived.content.body, full_name, wanted.max_tokens));
    attempt.set_prompt_tokens(wanted.prompt_tokens);
    attempt.set_max_tokens(wanted.max_tokens);
    attempt.set_repeatable(true);
    out.cost = wanted.prompt_tokens + wanted.max_tokens;
    out.order.route.pool = spec->model;
    out.order.route.adapter = {adapter->name, adapter->version};
    out.order.delivery.stream = wanted.stream;
    if (const auto refused = finish_check(arrived, *spec, out, now)) {
        return *refused;
    }
    return out;
}

front::checked front::check_plain(const caller_arrived& arrived, const route& to, step& now) const {
    const auto* spec = text_->find_service(to.service);
    open_request out;
    const config::service_spec keyed;
    if (const auto refused = check_key(arrived, spec != nullptr ? *spec : keyed, out)) {
        return *refused;
    }
    if (spec == nullptr || spec->kind != config::service_kind::plain) {
        return not_run(refusal_type::unknown_service);
    }
    auto& attempt = out.order.attempt;
    attempt.set_path(to.service_path);
    attempt.set_body(arrived.content.body);
    attempt.set_repeatable(spec->repeatable(arrived.content.method, to.service_path));
    out.cost = spec->cost_tokens;
    out.order.route.pool = spec->name;
    if (const auto refused = finish_check(arrived, *spec, out, now)) {
        return *refused;
    }
    return out;
}

std::optional<delivery::refusal> front::finish_check(const caller_arrived& arrived,
                                                     const config::service_spec& spec,
                                                     open_request& out, step& now) const {
    // Without standing, what this gateway sees of others means nothing; the charge refuses then.
    if (standing_->has_standing(now.time()) && health_->why_unavailable(spec.name) != nullptr) {
        return not_run(refusal_type::service_unavailable, retry_soon);
    }
    const auto& headers = arrived.content.headers;
    auto& attempt = out.order.attempt;
    const auto idempotency_key = find_header(headers, "Idempotency-Key");
    if (idempotency_key && !is_valid_idempotency_key(*idempotency_key)) {
        return not_run(refusal_type::malformed_request);
    }
    attempt.set_client_account(out.client_account);
    attempt.set_service(spec.name);
    attempt.set_method(arrived.content.method);
    attempt.set_query(arrived.content.query);
    for (const auto& each : forwarded_headers(headers)) {
        auto* added = attempt.add_headers();
        added->set_name(each.name);
        added->set_value(each.value);
    }
    attempt.set_idempotency_key(idempotency_key.value_or(""));
    attempt.set_cost_tokens(out.cost);

    const auto content = delivery::quarantine_fingerprint(out.client_account, spec.name,
                                                          attempt.adapter(), attempt.body());
    out.order.content = content;
    const auto standing = quarantine_->standing(content, now.time());
    if (standing.verdict == delivery::quarantine_verdict::refuse) {
        return not_run(refusal_type::quarantined, standing.ends_in);
    }
    const auto parent = find_header(headers, "traceparent");
    const auto context = parent ? parse_traceparent(*parent) : std::nullopt;
    out.trace = make_span_context(context ? context->trace_id : std::string{}, now.random());
    out.parent_span = context ? context->span_id : std::string{};
    attempt.set_trace_id(out.trace.trace_id);
    attempt.set_parent_span_id(out.trace.span_id);

    out.arrived = now.time();
    out.order.request = arrived.request;
    out.order.route.cost = out.cost;
    out.order.route.data_centre = settings_.data_centre;
    out.order.delivery.deadline = now.time() + spec.request_timeout;
    out.order.delivery.rule = attempt.repeatable() ? delivery::repeat_rule::repeatable
                              : idempotency_key    ? delivery::repeat_rule::keyed
                                                   : delivery::repeat_rule::once_only;
    return std::nullopt;
}

void front::list_models(const caller_arrived& arrived, step& now) {
    nlohmann::json models = nlohmann::json::array();
    text_->adapters().for_each([&](const config::adapter_spec& each) {
        if (models.size() < most_models_listed) {
            models.push_back({{"id", each.name + "@" + each.default_version},
                              {"object", "model"},
                              {"owned_by", "camphorgrade"},
                              {"parent", each.model}});
        }
    });
    const nlohmann::json body{{"object", "list"},
                              {"data", models},
                              {"has_more", text_->adapters().size() > most_models_listed}};
    answer_whole(arrived.request, 200, {{"Content-Type", "application/json"}}, body.dump(), now);
    metrics_->count("camphor_requests_total", {{"result", "whole"}});
}

} // namespace camphorgrade::gateway
