#include <gateway/front.h>

#include <kernel/micro_kernel.h>
#include <membership/membership_service.h>
#include <telemetry/trace.h>

#include <utility>

namespace camphorgrade::gateway {

namespace {

constexpr duration tick_period{100};
constexpr token tick = 1;

delivery::refusal_type to_refusal(limits::refusal_reason reason) {
    switch (reason) {
    case limits::refusal_reason::no_standing:
        return delivery::refusal_type::no_standing;
    case limits::refusal_reason::unknown_account:
        return delivery::refusal_type::invalid_key;
    case limits::refusal_reason::never_fits:
        return delivery::refusal_type::cost_over_burst;
    case limits::refusal_reason::over_rate:
        return delivery::refusal_type::over_rate;
    case limits::refusal_reason::leaving:
        return delivery::refusal_type::leaving;
    }
    return delivery::refusal_type::over_rate;
}

} // namespace

front::front(front_settings settings) : settings_(std::move(settings)), drain_(settings_.drain) {}

void front::attach(micro_kernel& kernel) {
    keys_ = &kernel.find<keys::key_service>("keys");
    standing_ = &kernel.find<membership::standing_service>("standing");
    membership_ = &kernel.find<membership::membership_service>("membership");
    limits_ = &kernel.find<limits::limits_service>("limits");
    quarantine_ = &kernel.find<delivery::quarantine>("quarantine");
    forward_ = &kernel.find<forwarder>("forward");
    health_ = &kernel.find<service_health>("service_health");
    metrics_ = &kernel.find<metrics>("metrics");
    kernel.find<config::configuration_service>("configuration").add_listener(*this);
    forward_->set_listener(*this);
    limits_->set_listener(*this);
}

void front::start(step& now) {
    now.emit(set_timer{std::string(name()), tick, now.time() + tick_period});
}

void front::on_timer(token /*id*/, step& now) {
    update_drain(now);
    now.emit(set_timer{std::string(name()), tick, now.time() + tick_period});
}

bool front::ready(time_point now) const {
    return text_ != nullptr && !drain_.leaving() && standing_->has_standing(now) &&
           limits_->shares_held();
}

void front::configuration_changed(const config::operators_text& text, std::uint64_t revision,
                                  step& now) {
    text_ = &text;
    std::vector<limits::account_limit> accounts;
    for (const auto& each : text.client_accounts()) {
        accounts.push_back({each.name, static_cast<std::int64_t>(each.rate_tokens_per_s),
                            static_cast<std::int64_t>(each.burst_tokens)});
    }
    limits_->set_accounts(accounts, revision, now);
}

void front::on_caller(const caller_arrived& arrived, step& now) {
    auto result = check(arrived, now);
    if (const auto* refused = std::get_if<delivery::refusal>(&result)) {
        refuse(arrived.request, *refused, now);
        return;
    }
    auto& request = std::get<open_request>(result);
    if (request.order.attempt.service().empty()) {
        list_models(arrived, now);
        return;
    }
    open_.emplace(arrived.request, std::move(request));
    drain_.on_running(open_.size(), now.time());
    admit(arrived.request, now);
}

void front::on_caller_gone(request_id request, step& now) {
    const auto found = open_.find(request);
    if (found == open_.end()) {
        return;
    }
    found->second.answered = true; // nobody is left to answer
    if (found->second.waiting) {
        limits_->cancel(*found->second.ticket, now);
        by_ticket_.erase(*found->second.ticket);
        forget(request, "caller_gone", now);
    } else {
        forward_->caller_gone(request, now);
    }
}

void front::admit(request_id request, step& now) {
    auto& admitted = open_.at(request);
    if (admitted.client_account.empty()) {
        deliver(admitted, now);
        return;
    }
    const time_point token_deadline =
        std::min(admitted.order.delivery.deadline, now.time() + settings_.token_wait);
    const auto answer = limits_->admit(
        admitted.client_account, static_cast<std::int64_t>(admitted.cost), token_deadline, now);
    if (answer.state == limits::admission_state::refused) {
        refuse(request,
               delivery::not_run(to_refusal(answer.refusal.reason), answer.refusal.retry_after),
               now);
        return;
    }
    admitted.ticket = answer.ticket;
    if (answer.state == limits::admission_state::waiting) {
        admitted.waiting = true;
        by_ticket_[answer.ticket] = request;
        return;
    }
    deliver(admitted, now);
}

void front::on_admitted(limits::admission_ticket ticket, step& now) {
    const auto found = by_ticket_.find(ticket);
    if (found == by_ticket_.end()) {
        return;
    }
    const request_id request = found->second;
    by_ticket_.erase(found);
    auto& admitted = open_.at(request);
    admitted.waiting = false;
    if (keys_->withdrawn(admitted.key)) {
        // Withdrawn while it waited.
        limits_->credit(ticket, static_cast<std::int64_t>(admitted.cost), now);
        refuse(request, delivery::not_run(delivery::refusal_type::invalid_key), now);
        return;
    }
    deliver(admitted, now);
}

void front::on_refused(limits::admission_ticket ticket, const limits::admission_refusal& refused,
                       step& now) {
    const auto found = by_ticket_.find(ticket);
    if (found == by_ticket_.end()) {
        return;
    }
    const request_id request = found->second;
    by_ticket_.erase(found);
    refuse(request, delivery::not_run(to_refusal(refused.reason), refused.retry_after), now);
}

void front::deliver(open_request& admitted, step& now) {
    admitted.order.attempt.set_epoch(standing_->epoch());
    forward_->begin(admitted.order, now);
}

void front::on_answer(request_id request, const call_progress& part, step& now) {
    const auto found = open_.find(request);
    if (found == open_.end()) {
        return;
    }
    auto& open = found->second;
    if (const auto* head = std::get_if<http_head>(&part); head != nullptr && !open.answered) {
        metrics_->observe("camphor_first_byte_ms", {},
                          static_cast<double>((now.time() - open.arrived).count()));
        http_head with_trace = *head;
        with_trace.headers.push_back({"traceparent", format_traceparent(open.trace)});
        now.emit(answer_caller{request, with_trace});
        open.answered = true;
        return;
    }
    now.emit(answer_caller{request, part});
}

void front::on_refusal(request_id request, const delivery::refusal& refused, step& now) {
    const auto found = open_.find(request);
    if (found == open_.end()) {
        return;
    }
    found->second.result = delivery::name_of(refused.type);
    if (!found->second.answered) {
        found->second.answered = true;
        answer_whole(request, delivery::http_status(refused.type),
                     delivery::refusal_headers(refused), delivery::refusal_body(refused), now);
    }
}

void front::on_ended(request_id request, const delivery::delivery_ended& ended, step& now) {
    const auto found = open_.find(request);
    if (found == open_.end()) {
        return;
    }
    auto& open = found->second;
    if (open.ticket) {
        const auto& attempt = open.order.attempt;
        // What ran is charged for its prompt and what it generated; what did not run is free. When
        // it is not known, the whole cost stays charged.
        std::uint64_t used = open.cost;
        if (ended.run == delivery::run_knowledge::not_run) {
            used = 0;
        } else if (ended.whole && !attempt.adapter().empty() && ended.generated_tokens > 0) {
            used = std::min(open.cost, attempt.prompt_tokens() + ended.generated_tokens);
        }
        limits_->credit(*open.ticket, static_cast<std::int64_t>(open.cost - used), now);
    }
    const std::string result = ended.whole            ? "whole"
                               : !open.result.empty() ? open.result
                                                      : "incomplete";
    forget(request, result, now);
}

void front::refuse(request_id request, const delivery::refusal& refused, step& now) {
    answer_whole(request, delivery::http_status(refused.type), delivery::refusal_headers(refused),
                 delivery::refusal_body(refused), now);
    if (open_.contains(request)) {
        forget(request, delivery::name_of(refused.type), now);
    } else {
        metrics_->count("camphor_requests_total", {{"result", delivery::name_of(refused.type)}});
    }
}

void front::forget(request_id request, const std::string& result, step& now) {
    const auto found = open_.find(request);
    const auto& open = found->second;
    metrics_->count("camphor_requests_total", {{"result", result}});
    metrics_->observe("camphor_request_ms", {},
                      static_cast<double>((now.time() - open.arrived).count()));
    now.emit(export_span{{open.trace,
                          open.parent_span,
                          "gateway",
                          open.arrived,
                          now.time(),
                          {{"service", open.order.attempt.service()},
                           {"client_account", open.client_account},
                           {"result", result}}}});
    open_.erase(found);
    update_drain(now);
}

void front::answer_whole(request_id request, int status, http_headers headers, std::string body,
                         step& now) {
    headers.push_back({"Content-Length", std::to_string(body.size())});
    now.emit(answer_caller{request, http_head{status, std::move(headers)}});
    now.emit(answer_caller{request, http_chunk{std::move(body)}});
    now.emit(answer_caller{request, http_end{}});
}

void front::on_shutdown(step& now) {
    drain_.begin(open_.size(), now.time());
    now.emit(write_log{log_level::info, "graceful_shutdown_begun", {}});
    update_drain(now);
}

void front::update_drain(step& now) {
    if (!drain_.leaving() || exiting_) {
        return;
    }
    drain_.on_running(open_.size(), now.time());
    drain_.on_time(now.time());
    if (drain_.state() == delivery::drain_state::handing_over) {
        limits_->hand_back(now);
        if (limits_->handed_back()) {
            standing_->leave(now);
        }
        if (standing_->left()) {
            drain_.on_handed_over();
        }
    }
    if (drain_.state() == delivery::drain_state::stopped) {
        exiting_ = true;
        membership_->deregister(now);
        now.emit(write_log{
            log_level::info, "graceful_shutdown_ended", {{"cut", std::to_string(drain_.cut())}}});
        now.emit(exit_process{});
    }
}

} // namespace camphorgrade::gateway
