#include "once_record_codec.h"

#include <delivery/once_records.h>

#include <kernel/check.h>

#include <wire/once.pb.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::delivery {

namespace {

/** Own timers; group_commit has the tokens below its limit. */
constexpr token due_token = group_commit::token_limit;

} // namespace

once_records::once_records(once_settings settings)
    : settings_(std::move(settings)), commit_("once", settings_.commit) {
    CAMPHOR_PRECONDITION(settings_.watch_interval > duration{0});
    CAMPHOR_PRECONDITION(settings_.most_body_bytes < settings_.commit.most_bytes / 2);
}

void once_records::start(step& now) {
    commit_.start(now);
}

std::string once_records::record_key(const once_request& request) const {
    return settings_.key_prefix +
           to_hex(fingerprint_of({request.client_account, request.idempotency_key}));
}

once_ticket once_records::begin(const once_request& request, once_listener& listener, step& now) {
    CAMPHOR_PRECONDITION(!request.idempotency_key.empty());
    const std::string key = record_key(request);
    const once_ticket ticket{++last_ticket_};
    const waiter who{ticket, &listener, request.deadline, request.content};
    if (const auto* known = remembered(key, now.time())) {
        const bool same = known->content == request.content;
        decide(who, same ? once_decision{once_replay{known->outcome}}
                         : once_decision{once_refused{once_refusal::key_reused, {}}});
    } else if (waiting_ >= settings_.most_waiting || request.deadline <= now.time()) {
        const bool late = request.deadline <= now.time();
        decide(who, once_refused{late ? once_refusal::store_unavailable : once_refusal::overloaded,
                                 settings_.retry_after});
    } else if (const auto found = entries_.find(key); found != entries_.end()) {
        if (join(found->second, who)) {
            tickets_.emplace(ticket, key);
        }
    } else {
        const auto at = entries_.try_emplace(key).first;
        at->second.content = request.content;
        join(at->second, who);
        tickets_.emplace(ticket, key);
        submit_start(at, 0, now);
    }
    // The listener must not hear of a ticket before it has it.
    if (!decided_.empty()) {
        now.emit(set_timer{"once", due_token, now.time()});
    }
    arm(request.deadline, now);
    return ticket;
}

bool once_records::join(entry& known, const waiter& who) {
    // While the record is being written, nobody knows yet whose key it is.
    const bool undecided = known.state == entry_state::starting;
    if (known.content != who.content && !undecided) {
        decide(who, once_refused{once_refusal::key_reused, {}});
        return false;
    }
    if (known.state == entry_state::recording) {
        decide(who, once_replay{known.outcome});
        return false;
    }
    known.waiters.push_back(who);
    deadlines_.emplace(who.deadline, who.ticket);
    ++waiting_;
    return true;
}

void once_records::refuse_others(entry& of, const fingerprint& recorded) {
    const auto others =
        std::stable_partition(of.waiters.begin(), of.waiters.end(),
                              [&](const waiter& each) { return each.content == recorded; });
    const std::vector<waiter> refused(others, of.waiters.end());
    of.waiters.erase(others, of.waiters.end());
    for (const waiter& each : refused) {
        deadlines_.erase({each.deadline, each.ticket});
        --waiting_;
        decide(each, once_refused{once_refusal::key_reused, {}});
    }
}

void once_records::abandon(once_ticket ticket, step& now) {
    std::erase_if(decided_, [&](const decided& each) { return each.who.ticket == ticket; });
    const auto found = tickets_.find(ticket);
    if (found == tickets_.end()) {
        return;
    }
    const auto at = entries_.find(found->second);
    auto& waiters = at->second.waiters;
    const auto same = [&](const waiter& each) { return each.ticket == ticket; };
    const auto who = std::find_if(waiters.begin(), waiters.end(), same);
    CAMPHOR_PRECONDITION(who != waiters.end());
    deadlines_.erase({who->deadline, ticket});
    waiters.erase(who);
    --waiting_;
    tickets_.erase(found);
    drop_if_unwanted(at);
    settle(now);
}

void once_records::drop_if_unwanted(entry_ref at) {
    entry& unwanted = at->second;
    if (!unwanted.waiters.empty()) {
        return;
    }
    const bool unwritten = unwanted.state == entry_state::starting && commit_.withdraw(at->first);
    if (unwritten || unwanted.state == entry_state::watching) {
        entries_.erase(at);
    }
}

std::string once_records::record_value(const entry& of, step& now) const {
    wire::once_record record;
    record.set_fingerprint(to_bytes(of.content));
    record.set_node(now.self().value());
    record.set_incarnation(now.life().value());
    record.set_sequence(of.sequence);
    if (of.state == entry_state::recording) {
        write_outcome(of.outcome, *record.mutable_outcome());
    }
    return record.SerializeAsString();
}

void once_records::submit_start(entry_ref at, std::int64_t expected_revision, step& now) {
    entry& starting = at->second;
    starting.state = entry_state::starting;
    starting.sequence = ++last_sequence_;
    commit_.submit({at->first, expected_revision, record_value(starting, now)}, write_urgency::soon,
                   now);
}

void once_records::submit_outcome(entry_ref at, step& now) {
    commit_.submit({at->first, at->second.revision, record_value(at->second, now)},
                   write_urgency::lazy, now);
}

void once_records::submit_release(entry_ref at, step& now) {
    at->second.state = entry_state::releasing;
    commit_.submit({at->first, at->second.revision, std::nullopt}, write_urgency::soon, now);
}

void once_records::run_next(entry_ref at, step& now) {
    entry& started = at->second;
    refuse_others(started, started.content);
    if (started.waiters.empty()) {
        submit_release(at, now);
        return;
    }
    const waiter who = started.waiters.front();
    started.waiters.pop_front();
    deadlines_.erase({who.deadline, who.ticket});
    --waiting_;
    started.state = entry_state::running;
    started.runner = who.ticket;
    granted_.insert(started.sequence);
    decide(who, once_run{});
}

once_records::entry_ref once_records::running(once_ticket ticket) {
    const auto found = tickets_.find(ticket);
    CAMPHOR_PRECONDITION(found != tickets_.end());
    const auto at = entries_.find(found->second);
    CAMPHOR_INVARIANT(at != entries_.end());
    CAMPHOR_PRECONDITION(at->second.state == entry_state::running);
    CAMPHOR_PRECONDITION(at->second.runner == ticket);
    tickets_.erase(found);
    return at;
}

void once_records::finish(once_ticket ticket, const recorded_outcome& outcome, step& now) {
    const entry_ref at = running(ticket);
    entry& finished = at->second;
    finished.state = entry_state::recording;
    finished.outcome = outcome;
    if (outcome.body.size() > settings_.most_body_bytes) {
        finished.outcome.body.clear();
        finished.outcome.body_omitted = true;
    }
    decide_all(finished, once_replay{finished.outcome});
    submit_outcome(at, now);
    settle(now);
}

void once_records::finish_not_run(once_ticket ticket, step& now) {
    const entry_ref at = running(ticket);
    expire(now);
    granted_.erase(at->second.sequence);
    run_next(at, now);
    settle(now);
}

void once_records::finish_unknown(once_ticket ticket, step& now) {
    const entry_ref at = running(ticket);
    // The sequence stays granted, so that this life never takes the record over.
    decide_all(at->second, once_unknown{});
    entries_.erase(at);
    settle(now);
}

void once_records::on_timer(token id, step& now) {
    expire(now);
    if (id < group_commit::token_limit) {
        for (const cas_result& each : commit_.on_timer(id, now)) {
            on_result(each, now);
        }
    } else {
        armed_.reset();
    }
    settle(now);
}

void once_records::on_kv_reply(token id, const kv_reply& reply, step& now) {
    expire(now);
    for (const cas_result& each : commit_.on_kv_reply(id, reply, now)) {
        on_result(each, now);
    }
    settle(now);
}

void once_records::settle(step& now) {
    expire(now);
    look_at_watched(now);
    flush(now);
    if (!deadlines_.empty()) {
        arm(deadlines_.begin()->first, now);
    }
}

const once_records::remembered_outcome* once_records::remembered(const std::string& key,
                                                                 time_point at) const {
    const auto found = outcomes_.find(key);
    const bool valid = found != outcomes_.end() && at < found->second.until;
    return valid ? &found->second : nullptr;
}

void once_records::remember(const std::string& key, const entry& finished, step& now) {
    const time_point until = now.time() + settings_.commit.lease.retention;
    const auto [at, added] = outcomes_.insert_or_assign(
        key, remembered_outcome{finished.content, finished.outcome, until});
    if (added) {
        outcome_order_.push_back(at->first);
    }
    while (outcome_order_.size() > settings_.most_remembered) {
        outcomes_.erase(outcome_order_.front());
        outcome_order_.pop_front();
    }
}

void once_records::expire(step& now) {
    while (!deadlines_.empty() && deadlines_.begin()->first <= now.time()) {
        const once_ticket ticket = deadlines_.begin()->second;
        const auto at = entries_.find(tickets_.at(ticket));
        auto& waiters = at->second.waiters;
        const auto same = [&](const waiter& each) { return each.ticket == ticket; };
        const auto found = std::find_if(waiters.begin(), waiters.end(), same);
        CAMPHOR_INVARIANT(found != waiters.end());
        const waiter who = *found;
        waiters.erase(found);
        deadlines_.erase(deadlines_.begin());
        --waiting_;
        const bool other_runs =
            at->second.state == entry_state::running || at->second.state == entry_state::watching;
        decide(who, other_runs ? once_decision{once_unknown{settings_.retry_after}}
                               : once_decision{once_refused{once_refusal::store_unavailable,
                                                            settings_.retry_after}});
        drop_if_unwanted(at);
    }
}

void once_records::decide(const waiter& who, once_decision decision) {
    if (std::holds_alternative<once_run>(decision)) {
        ++counts_.runs;
    } else {
        tickets_.erase(who.ticket);
        counts_.replays += std::holds_alternative<once_replay>(decision) ? 1 : 0;
        counts_.unknowns += std::holds_alternative<once_unknown>(decision) ? 1 : 0;
        counts_.refusals += std::holds_alternative<once_refused>(decision) ? 1 : 0;
    }
    decided_.push_back({who, std::move(decision)});
}

void once_records::decide_all(entry& of, const once_decision& decision) {
    for (const waiter& each : std::exchange(of.waiters, {})) {
        deadlines_.erase({each.deadline, each.ticket});
        --waiting_;
        decide(each, decision);
    }
}

void once_records::flush(step& now) {
    if (flushing_) {
        return;
    }
    flushing_ = true;
    while (!decided_.empty()) {
        const decided next = std::move(decided_.front());
        decided_.pop_front();
        next.who.listener->on_once_decided(next.who.ticket, next.decision, now);
    }
    flushing_ = false;
}

void once_records::arm(time_point at, step& now) {
    if (armed_ && *armed_ > now.time() && *armed_ <= at) {
        return;
    }
    armed_ = at;
    now.emit(set_timer{"once", due_token, at});
}

once_counts once_records::counts() const {
    once_counts counts = counts_;
    counts.store = commit_.counts();
    return counts;
}

bool once_records::idle() const noexcept {
    return entries_.empty() && commit_.idle();
}

} // namespace camphorgrade::delivery
