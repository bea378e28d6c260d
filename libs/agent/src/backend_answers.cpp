// How attempts end, and what is told to gateways.
#include <agent/backend_service.h>

#include <telemetry/trace.h>

#include <utility>

namespace camphorgrade::agent {

namespace {

constexpr duration forget_unacknowledged_after{30'000};

std::string result_name(const delivery::part& last) {
    if (std::holds_alternative<delivery::part_end>(last)) {
        return "whole";
    }
    if (const auto* refused = std::get_if<delivery::part_refused>(&last)) {
        return delivery::name_of(refused->type);
    }
    return std::holds_alternative<delivery::part_unknown>(last) ? "unknown" : "broken";
}

} // namespace

void backend_service::settle_record(job_ref ended, const delivery::part& last, step& now) {
    if (!ended.ticket) {
        return;
    }
    by_ticket_.erase(*ended.ticket);
    if (std::holds_alternative<delivery::part_end>(last)) {
        once_->finish(*ended.ticket, {*ended.head, std::move(ended.body), ended.body_omitted}, now);
    } else if (std::holds_alternative<delivery::part_refused>(last)) {
        once_->finish_not_run(*ended.ticket, now);
    } else {
        once_->finish_unknown(*ended.ticket, now);
    }
    ended.ticket.reset();
}

void backend_service::end(job_ref ended, delivery::part last, step& now) {
    const auto state = std::exchange(ended.state, job_state::ended);
    const bool was_running = state == job_state::recording || state == job_state::running ||
                             state == job_state::checking;
    const bool had_started = was_running || state == job_state::held;
    running_ -= was_running ? 1 : 0;
    exclusive_ -= had_started && ended.alone ? 1 : 0;
    by_call_.erase(ended.call);
    ended.ended_at = now.time();
    settle_record(ended, last, now);
    count_end(ended, last, now);
    export_trace(ended, now);
    send(ended, std::move(last), now);
    if (had_started) {
        queue_->finished(ended.number, ended.meter.generated_tokens(), now);
    }
    start_held(now);
    reporter_->changed(now);
    update_drain(now);
}

void backend_service::count_end(const job& ended, const delivery::part& last, step& now) {
    metrics_->count("camphor_attempts_total", {{"result", result_name(last)}});
    metrics_->observe("camphor_attempt_ms", {},
                      static_cast<double>((now.time() - ended.arrived).count()));
    if (std::holds_alternative<delivery::part_end>(last)) {
        metrics_->count("camphor_generated_tokens_total",
                        {{"client_account", ended.request.client_account()}},
                        ended.meter.generated_tokens());
    }
}

void backend_service::export_trace(const job& ended, step& now) {
    const auto& wanted = ended.request;
    now.emit(export_span{{ended.trace,
                          wanted.parent_span_id(),
                          "agent",
                          ended.arrived,
                          now.time(),
                          {{"service", wanted.service()}, {"adapter", wanted.adapter()}}}});
    if (ended.started != time_point{}) {
        const trace_context call = make_span_context(ended.trace.trace_id, now.random());
        now.emit(export_span{{call,
                              ended.trace.span_id,
                              "backend_server",
                              ended.started,
                              now.time(),
                              {{"backend_server", server_->name}}}});
    }
}

void backend_service::send(job_ref from, delivery::part next, step& now) {
    transmit(from, from.outbox.add(std::move(next), now.time()), now);
}

void backend_service::transmit(const job& from, const delivery::numbered_part& numbered,
                               step& now) {
    const auto content = delivery::to_wire(from.id, numbered);
    now.send(from.id.gateway, "forward", content.SerializeAsString());
}

void backend_service::resend(step& now) {
    for (const auto& [id, each] : jobs_) {
        for (const auto& part : each->outbox.due(now.time())) {
            transmit(*each, part, now);
        }
    }
}

void backend_service::enforce_deadlines(step& now) {
    for (const auto& [id, each] : jobs_) {
        const bool late = now.time() >= each->deadline && !each->cancelled;
        if (late && each->state == job_state::running && each->request.repeatable()) {
            each->cancelled = true;
            now.emit(cancel_call{each->call});
        }
    }
}

void backend_service::forget_settled(time_point now) {
    for (auto at = jobs_.begin(); at != jobs_.end();) {
        const job& each = *at->second;
        const bool given_up = now - each.ended_at > forget_unacknowledged_after;
        if (each.state == job_state::ended && (each.outbox.settled() || given_up)) {
            by_number_.erase(each.number);
            at = jobs_.erase(at);
        } else {
            ++at;
        }
    }
}

} // namespace camphorgrade::agent
