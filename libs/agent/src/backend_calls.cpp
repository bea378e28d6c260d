// How attempts run: calls to the backend server and what comes back.
#include <agent/backend_service.h>

#include <telemetry/trace.h>

#include <utility>
#include <vector>

namespace camphorgrade::agent {

namespace {

constexpr duration retry_soon{500};
constexpr duration probe_period{500};
constexpr duration hold_queue_for{1'000}; // a backend server that only restarts is back by then
constexpr std::size_t max_recorded_body_bytes = std::size_t{64} * 1024;
constexpr const char* event_stream = "text/event-stream";

bool is_stream(const http_head& head) {
    const auto type = find_header(head.headers, "Content-Type");
    return type && type->starts_with(event_stream);
}

http_request backend_request(const job& started) {
    const auto& wanted = started.request;
    http_request request{wanted.method(), wanted.path(), wanted.query(), {}, wanted.body()};
    for (const auto& each : wanted.headers()) {
        request.headers.push_back({each.name(), each.value()});
    }
    request.headers.push_back({"traceparent", format_traceparent(started.trace)});
    return request;
}

delivery::fingerprint content_of(const wire::run_attempt& wanted) {
    return delivery::fingerprint_of(
        {wanted.method(), wanted.path(), wanted.query(), wanted.body()});
}

} // namespace

void backend_service::run(job_ref started, step& now) {
    if (started.cancelled) {
        started.state = job_state::held;
        end(started, delivery::part_refused{delivery::refusal_type::deadline, duration{0}}, now);
        return;
    }
    ++running_;
    started.started = now.time();
    if (!started.recorded()) {
        call(started, now);
        return;
    }
    started.state = job_state::recording;
    const auto& wanted = started.request;
    started.ticket = once_->begin(
        {wanted.client_account(), wanted.idempotency_key(), content_of(wanted), started.deadline},
        *this, now);
    by_ticket_[*started.ticket] = &started;
}

void backend_service::call(job_ref started, step& now) {
    started.state = job_state::running;
    started.call = call_id{++last_call_};
    by_call_[started.call] = &started;
    now.emit(call_backend{std::string(name()), started.call, backend_request(started),
                          server_->address});
    metrics_->observe("camphor_queue_wait_ms", {},
                      static_cast<double>((now.time() - started.arrived).count()));
}

void backend_service::on_once_decided(delivery::once_ticket ticket,
                                      const delivery::once_decision& decision, step& now) {
    const auto found = by_ticket_.find(ticket);
    if (found == by_ticket_.end()) {
        return;
    }
    job& decided = *found->second;
    if (std::holds_alternative<delivery::once_run>(decision)) {
        call(decided, now);
        return;
    }
    by_ticket_.erase(found);
    decided.ticket.reset();
    if (const auto* replay = std::get_if<delivery::once_replay>(&decision)) {
        send(decided, delivery::part_head{replay->outcome.head, true}, now);
        if (!replay->outcome.body.empty()) {
            send(decided, delivery::part_chunk{replay->outcome.body}, now);
        }
        end(decided, delivery::part_end{0}, now);
    } else if (const auto* unknown = std::get_if<delivery::once_unknown>(&decision)) {
        end(decided, delivery::part_unknown{unknown->retry_after}, now);
    } else {
        const auto& refused = std::get<delivery::once_refused>(decision);
        const auto type = refused.reason == delivery::once_refusal::key_reused
                              ? delivery::refusal_type::key_reused
                          : refused.reason == delivery::once_refusal::overloaded
                              ? delivery::refusal_type::queue_full
                              : delivery::refusal_type::record_unavailable;
        end(decided, delivery::part_refused{type, refused.retry_after}, now);
    }
}

void backend_service::on_call(call_id call, const call_progress& progress, step& now) {
    if (liveness_call_ == call) {
        if (const auto* head = std::get_if<http_head>(&progress)) {
            const auto boot = driver_.boot_of(*head);
            const bool restarted = engine_ != nullptr && boot && *boot != engine_->boot();
            if (restarted) {
                engine_->on_boot(*boot, now);
            }
            liveness_known(restarted, now);
        } else if (std::holds_alternative<call_failure>(progress)) {
            liveness_known(true, now);
        }
        return;
    }
    if (engine_ != nullptr && engine_->on_call(call, progress, now)) {
        const auto* failed = std::get_if<call_failure>(&progress);
        if (failed != nullptr && failed->kind == call_failure_kind::not_sent) {
            mark_down(now);
        }
        reporter_->changed(now);
        return;
    }
    const auto found = by_call_.find(call);
    if (found != by_call_.end()) {
        take_progress(*found->second, progress, now);
    }
}

void backend_service::take_progress(job_ref running, const call_progress& progress, step& now) {
    if (const auto* head = std::get_if<http_head>(&progress)) {
        take_head(running, *head, now);
    } else if (const auto* chunk = std::get_if<http_chunk>(&progress)) {
        take_chunk(running, *chunk, now);
    } else if (std::holds_alternative<http_end>(progress)) {
        take_end(running, now);
    } else {
        take_failure(running, std::get<call_failure>(progress).kind, now);
    }
}

void backend_service::take_head(job_ref running, const http_head& head, step& now) {
    if (engine_ != nullptr && driver_.says_missing_adapter(head)) {
        // The engine restarted empty or lost the adapter: it ran nothing.
        now.emit(cancel_call{running.call});
        engine_->on_missing_adapter(running.number, now);
        end(running, delivery::part_refused{delivery::refusal_type::load_failed, duration{0}}, now);
        return;
    }
    running.head = head;
    running.meter = answer_meter(is_stream(head));
    metrics_->observe("camphor_backend_first_byte_ms", {},
                      static_cast<double>((now.time() - running.started).count()));
    send(running, delivery::part_head{head, false}, now);
}

void backend_service::take_chunk(job_ref running, const http_chunk& chunk, step& now) {
    running.meter.add(chunk.bytes);
    if (running.recorded() && !running.body_omitted) {
        running.body_omitted = running.body.size() + chunk.bytes.size() > max_recorded_body_bytes;
        running.body = running.body_omitted ? std::string{} : running.body + chunk.bytes;
    }
    send(running, delivery::part_chunk{chunk.bytes}, now);
}

void backend_service::take_end(job_ref running, step& now) {
    if (!running.head || !running.meter.ended_properly()) {
        take_failure(running, call_failure_kind::broken, now);
        return;
    }
    quarantine_->on_finished(running.suspect.content, now);
    end(running, delivery::part_end{running.meter.generated_tokens()}, now);
}

void backend_service::take_failure(job_ref running, call_failure_kind kind, step& now) {
    if (kind == call_failure_kind::not_sent) {
        mark_down(now);
        end(running, delivery::part_refused{delivery::refusal_type::backend_down, retry_soon}, now);
    } else if (running.cancelled) {
        end(running, delivery::part_broken{false}, now);
    } else {
        by_call_.erase(running.call);
        running.state = job_state::checking;
        check_liveness(now);
    }
}

void backend_service::check_liveness(step& now) {
    if (liveness_call_) {
        return;
    }
    liveness_call_ = call_id{++last_call_};
    const http_request question =
        engine_ != nullptr ? driver_.listing_request() : http_request{"GET", "/", "", {}, ""};
    now.emit(call_backend{std::string(name()), *liveness_call_, question, server_->address});
}

void backend_service::liveness_known(bool died, step& now) {
    now.emit(cancel_call{*liveness_call_});
    liveness_call_.reset();
    if (died) {
        mark_down(now);
    } else if (down_since_) {
        down_since_.reset();
        now.emit(
            write_log{log_level::info, "backend_server_back", {{"backend_server", server_->name}}});
        reporter_->changed(now);
    }
    std::vector<job*> hit;
    for (const auto& [number, each] : by_number_) {
        const bool running = each->state == job_state::running;
        if (each->state == job_state::checking || (died && running)) {
            hit.push_back(each);
        }
    }
    if (!died) {
        for (job* each : hit) {
            end(*each, delivery::part_broken{false}, now);
        }
        return;
    }
    if (hit.empty()) {
        return; // nothing ran when it went
    }
    std::vector<delivery::death_suspect> suspects;
    std::vector<std::uint64_t> numbers;
    for (job* each : hit) {
        by_call_.erase(each->call);
        each->state = job_state::checking;
        suspects.push_back(each->suspect);
        numbers.push_back(each->number);
    }
    metrics_->count("camphor_backend_deaths_total");
    const auto death = quarantine_->report_death(suspects, *this, now);
    now.emit(write_log{
        log_level::error,
        "backend_server_died",
        {{"backend_server", server_->name}, {"running", std::to_string(suspects.size())}}});
    deaths_[death] = std::move(numbers);
}

void backend_service::mark_down(step& now) {
    if (down_since_) {
        return;
    }
    down_since_ = now.time();
    next_probe_ = now.time() + probe_period;
    now.emit(write_log{
        log_level::warning, "backend_server_unreachable", {{"backend_server", server_->name}}});
    reporter_->changed(now);
}

void backend_service::tend_down_server(step& now) {
    if (!down_since_) {
        return;
    }
    if (now.time() >= next_probe_) {
        next_probe_ = now.time() + probe_period;
        check_liveness(now);
    }
    if (now.time() - *down_since_ < hold_queue_for) {
        return;
    }
    for (const auto& [number, each] : by_number_) {
        if (each->state == job_state::waiting && queue_->cancel(number)) {
            end(*each, delivery::part_refused{delivery::refusal_type::backend_down, retry_soon},
                now);
        }
    }
}

void backend_service::on_death_shared(const delivery::death_id& death, bool /*everywhere*/,
                                      step& now) {
    const auto found = deaths_.find(death);
    if (found == deaths_.end()) {
        return;
    }
    const auto numbers = std::move(found->second);
    deaths_.erase(found);
    for (const auto number : numbers) {
        if (job* each = find_number(number); each != nullptr && each->state != job_state::ended) {
            end(*each, delivery::part_broken{true}, now);
        }
    }
}

} // namespace camphorgrade::agent
