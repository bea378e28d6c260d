#include <delivery_sim/sim_agent.h>

#include <utility>

namespace camphorgrade::delivery::sim {

namespace {

constexpr token tick_token = 0;
constexpr duration tick_interval{50};
constexpr duration resend_after{200};
constexpr duration keep_attempts{120'000};
constexpr unsigned life_shift = 32;

refusal_type refusal_of(once_refusal reason) {
    return reason == once_refusal::key_reused ? refusal_type::key_reused
                                              : refusal_type::record_unavailable;
}

} // namespace

sim_agent::sim_agent(const directory& known)
    : known_(known), seen_(incarnation{}, keep_attempts),
      drain_({duration{0}, duration{30'000}, duration{3'000}, duration{1'000}}) {}

void sim_agent::attach(micro_kernel& kernel) {
    once_ = &kernel.find<once_records>("once");
    quarantine_ = &kernel.find<quarantine>("quarantine");
    seen_ = attempt_register(kernel.life(), keep_attempts);
}

void sim_agent::start(step& now) {
    now.emit(set_timer{"agent", tick_token, now.time() + tick_interval});
}

void sim_agent::on_message(const message& received, step& now) {
    wire::forward_to_agent content;
    if (!content.ParseFromString(received.payload)) {
        return;
    }
    attempt_id id{received.from, received.from_incarnation, {}, 0};
    if (content.has_run()) {
        id.request = request_id{content.run().request()};
        id.number = content.run().attempt();
        take_run(id, content.run(), now);
    } else if (content.has_cancel()) {
        id.request = request_id{content.cancel().request()};
        id.number = content.cancel().attempt();
        take_cancel(id, now);
    } else if (content.has_acknowledged()) {
        id.request = request_id{content.acknowledged().request()};
        id.number = content.acknowledged().attempt();
        const auto found = works_.find(id);
        if (found == works_.end()) {
            return;
        }
        if (!found->second.outbox.acknowledge(content.acknowledged().next_sequence())) {
            for (const auto& again : found->second.outbox.again(now.time())) {
                send_part(id, again, now);
            }
        }
        if (found->second.outbox.settled()) {
            works_.erase(found);
        }
    }
}

void sim_agent::take_run(const attempt_id& id, const wire::run_attempt& run, step& now) {
    const arrival how = seen_.arrive(id, incarnation{run.agent_incarnation()}, now.time());
    if (how == arrival::duplicate) {
        if (const auto found = works_.find(id); found != works_.end()) {
            for (const auto& again : found->second.outbox.again(now.time())) {
                send_part(id, again, now);
            }
        }
        return;
    }
    if (how == arrival::wrong_life) {
        send_part(id, {0, part_unknown{}}, now);
        return;
    }
    if (how == arrival::fresh) {
        accept_run(id, run, now);
    }
}

void sim_agent::accept_run(const attempt_id& id, const wire::run_attempt& run, step& now) {
    work taken{
        run, part_outbox(resend_after),      {}, now.time() + duration{run.deadline_ms()}, {},
        {},  !run.idempotency_key().empty(), {}};
    taken.content =
        quarantine_fingerprint(run.client_account(), run.service(), run.adapter(), run.body());
    works_.emplace(id, std::move(taken));
    if (!drain_.accepts_new()) {
        answer(id, part_refused{refusal_type::leaving, {}}, now);
        return;
    }
    const auto standing = quarantine_->standing(works_.at(id).content, now.time());
    if (standing.verdict == quarantine_verdict::refuse) {
        answer(id, part_refused{refusal_type::quarantined, standing.ends_in}, now);
        return;
    }
    if (!backend_up(now)) {
        answer(id, part_refused{refusal_type::backend_down, {}}, now);
        return;
    }
    answer(id, part_accepted{}, now);
    work& accepted = works_.at(id);
    if (accepted.keyed) {
        const fingerprint content =
            fingerprint_of({run.method(), run.path(), run.query(), run.body()});
        accepted.ticket = once_->begin(
            {run.client_account(), run.idempotency_key(), content, accepted.deadline}, *this, now);
        tickets_.emplace(accepted.ticket, id);
        return;
    }
    waiting_.push_back(id);
    start_waiting(now);
}

bool sim_agent::backend_up(step& now) const {
    return known_.agents.at(now.self()).backend_up;
}

void sim_agent::start_waiting(step& now) {
    // What waits already stays: the backend server will be back soon.
    while (!waiting_.empty() && backend_up(now)) {
        const attempt_id id = waiting_.front();
        const auto found = works_.find(id);
        if (found == works_.end()) {
            waiting_.pop_front();
            continue;
        }
        const auto standing = quarantine_->standing(found->second.content, now.time());
        const bool alone =
            found->second.run.suspect() || standing.verdict == quarantine_verdict::run_alone;
        const bool busy_alone =
            calls_.size() == 1 && works_.at(calls_.begin()->second).run.suspect();
        if (busy_alone || (alone && !calls_.empty())) {
            return;
        }
        waiting_.pop_front();
        if (standing.verdict == quarantine_verdict::refuse) {
            answer(id, part_refused{refusal_type::quarantined, standing.ends_in}, now);
            continue;
        }
        found->second.run.set_suspect(alone);
        call(id, now);
    }
}

void sim_agent::call(const attempt_id& id, step& now) {
    work& called = works_.at(id);
    called.call = call_id{(now.life().value() << life_shift) + ++last_call_};
    calls_.emplace(called.call, id);
    call_backend started;
    started.service = "agent";
    started.call = called.call;
    started.request = {called.run.method(), called.run.path(), {}, {}, called.run.body()};
    now.emit(started);
}

void sim_agent::answer(const attempt_id& id, part next, step& now) {
    const auto found = works_.find(id);
    if (found != works_.end() && !found->second.outbox.complete()) {
        send_part(id, found->second.outbox.add(std::move(next), now.time()), now);
    }
}

void sim_agent::send_part(const attempt_id& id, const numbered_part& sent, step& now) {
    now.send(id.gateway, "gateway", to_wire(id, sent).SerializeAsString());
}

void sim_agent::take_cancel(const attempt_id& id, step& now) {
    seen_.cancel(id, now.time());
    const auto found = works_.find(id);
    if (found == works_.end()) {
        return;
    }
    work& cancelled = found->second;
    if (cancelled.keyed && tickets_.contains(cancelled.ticket) && cancelled.call == call_id{}) {
        once_->abandon(cancelled.ticket, now);
        tickets_.erase(cancelled.ticket);
        works_.erase(found);
        return;
    }
    if (!calls_.contains(cancelled.call)) {
        works_.erase(found);
        return;
    }
    if (!cancelled.keyed) {
        // A booking under way is not cut off: its outcome is to be recorded.
        now.emit(cancel_call{cancelled.call});
        const call_id call = cancelled.call;
        works_.erase(found);
        end_call(call, now);
    }
}

void sim_agent::end_call(call_id ended, step& now) {
    calls_.erase(ended);
    start_waiting(now);
    move_drain(now);
}

void sim_agent::on_call(call_id call, const call_progress& progress, step& now) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    const attempt_id id = found->second;
    work& running = works_.at(id);
    if (const auto* head = std::get_if<http_head>(&progress)) {
        running.answer.head = *head;
        if (!running.keyed) {
            answer(id, part_head{*head}, now);
        }
    } else if (const auto* chunk = std::get_if<http_chunk>(&progress)) {
        if (running.keyed) {
            running.answer.body += chunk->bytes;
        } else {
            answer(id, part_chunk{chunk->bytes}, now);
        }
    } else if (std::holds_alternative<http_end>(progress)) {
        take_end(id, now);
    } else {
        take_failure(id, std::get<call_failure>(progress), now);
    }
}

void sim_agent::take_end(const attempt_id& id, step& now) {
    work& ended = works_.at(id);
    const call_id call = ended.call;
    quarantine_->on_finished(ended.content, now);
    if (ended.keyed) {
        const recorded_outcome outcome = ended.answer;
        answer(id, part_head{outcome.head}, now);
        answer(id, part_chunk{outcome.body}, now);
        const once_ticket ticket = ended.ticket;
        answer(id, part_end{}, now);
        once_->finish(ticket, outcome, now);
    } else {
        answer(id, part_end{1}, now);
    }
    end_call(call, now);
}

void sim_agent::take_failure(const attempt_id& id, const call_failure& failure, step& now) {
    work& failed = works_.at(id);
    const call_id call = failed.call;
    if (failure.kind == call_failure_kind::not_sent) {
        answer(id, part_refused{refusal_type::backend_down, {}}, now);
        if (failed.keyed) {
            once_->finish_not_run(failed.ticket, now);
        }
        end_call(call, now);
        return;
    }
    if (!backend_up(now)) {
        backend_died(now);
        return;
    }
    answer(id, part_broken{}, now);
    if (failed.keyed) {
        once_->finish_unknown(failed.ticket, now);
    }
    end_call(call, now);
}

void sim_agent::backend_died(step& now) {
    std::vector<death_suspect> suspects;
    std::vector<attempt_id> broken;
    for (const auto& [call, id] : std::exchange(calls_, {})) {
        const work& ended = works_.at(id);
        suspects.push_back({ended.content, ended.run.client_account(), ended.run.service()});
        broken.push_back(id);
    }
    dying_.emplace(quarantine_->report_death(suspects, *this, now), broken);
    for (const attempt_id& id : broken) {
        if (works_.at(id).keyed) {
            once_->finish_unknown(works_.at(id).ticket, now);
        }
    }
    start_waiting(now);
    move_drain(now);
}

void sim_agent::on_death_shared(const death_id& death, bool /*everywhere*/, step& now) {
    for (const attempt_id& id : std::exchange(dying_[death], {})) {
        answer(id, part_broken{true}, now);
    }
    dying_.erase(death);
}

void sim_agent::on_once_decided(once_ticket ticket, const once_decision& decision, step& now) {
    const auto found = tickets_.find(ticket);
    if (found == tickets_.end()) {
        return;
    }
    const attempt_id id = found->second;
    tickets_.erase(found);
    if (std::holds_alternative<once_run>(decision)) {
        call(id, now);
    } else if (const auto* replay = std::get_if<once_replay>(&decision)) {
        answer(id, part_head{replay->outcome.head, true}, now);
        answer(id, part_chunk{replay->outcome.body}, now);
        answer(id, part_end{}, now);
    } else if (const auto* unknown = std::get_if<once_unknown>(&decision)) {
        answer(id, part_unknown{unknown->retry_after}, now);
    } else {
        const auto& refused = std::get<once_refused>(decision);
        answer(id, part_refused{refusal_of(refused.reason), refused.retry_after}, now);
    }
}

void sim_agent::on_shutdown(step& now) {
    drain_.begin(calls_.size() + waiting_.size(), now.time());
    move_drain(now);
}

void sim_agent::move_drain(step& now) {
    if (!drain_.leaving()) {
        return;
    }
    bool busy = !calls_.empty() || !waiting_.empty() || !once_->idle();
    for (const auto& each : works_) {
        busy = busy || !each.second.outbox.settled();
    }
    drain_.on_running(busy ? 1 : 0, now.time());
    drain_.on_handed_over();
    if (drain_.state() == drain_state::stopped) {
        now.emit(exit_process{});
    }
}

void sim_agent::on_timer(token /*id*/, step& now) {
    for (auto each = works_.begin(); each != works_.end();) {
        const bool over = each->second.deadline + resend_after < now.time() &&
                          !calls_.contains(each->second.call);
        if (over && !tickets_.contains(each->second.ticket)) {
            each = works_.erase(each);
            continue;
        }
        for (const auto& again : each->second.outbox.due(now.time())) {
            send_part(each->first, again, now);
        }
        ++each;
    }
    start_waiting(now);
    move_drain(now);
    now.emit(set_timer{"agent", tick_token, now.time() + tick_interval});
}

} // namespace camphorgrade::delivery::sim
