#include <delivery/request_delivery.h>

#include <kernel/check.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::delivery {

request_delivery::request_delivery(const delivery_request& request,
                                   const delivery_settings& settings)
    : request_(request), settings_(settings), buffering_(!request.stream),
      resume_(settings.most_resumable) {
    CAMPHOR_PRECONDITION(settings.most_attempts >= 1);
    CAMPHOR_PRECONDITION(settings.resend_after > duration{0});
    CAMPHOR_PRECONDITION(settings.accept_timeout > duration{0});
    CAMPHOR_PRECONDITION(settings.silence_timeout > duration{0});
    CAMPHOR_PRECONDITION(settings.backend_poll > duration{0});
}

run_knowledge request_delivery::run() const noexcept {
    return combine(earlier_, current_.run());
}

delivery_effects request_delivery::start(time_point now, retry_budget& budget) {
    CAMPHOR_PRECONDITION(phase_ == phase::idle);
    delivery_effects out;
    budget.on_first_attempt();
    number_ = 1;
    if (now >= request_.deadline) {
        give_answer_up({.type = refusal_type::deadline}, out);
        return out;
    }
    ask_for_backend(out);
    set_wake(now, out);
    return out;
}

delivery_effects request_delivery::backend_chosen(const node_id& agent, incarnation life,
                                                  time_point now) {
    CAMPHOR_PRECONDITION(phase_ == phase::choosing);
    delivery_effects out;
    if (now >= request_.deadline) {
        give_answer_up({.type = refusal_type::deadline}, out);
        return out;
    }
    phase_ = phase::running;
    sent_as_suspect_ = suspect_;
    parts_ = part_sequencer(part_source{agent, life});
    tried_.push_back(agent);
    head_.reset();
    buffer_.clear();
    buffered_ = 0;
    acknowledged_ = 0;
    acknowledged_at_ = now;
    asked_for_.reset();
    if (head_forwarded_) {
        resume_.begin_again();
    }
    first_sent_ = now;
    last_part_ = now;
    ++sent_;
    send(now, out);
    set_wake(now, out);
    return out;
}

delivery_effects request_delivery::no_backend(duration retry_after, time_point now) {
    CAMPHOR_PRECONDITION(phase_ == phase::choosing);
    delivery_effects out;
    const bool may_wait = waited_for_backend_ < settings_.wait_for_backend &&
                          now + settings_.backend_poll < request_.deadline;
    if (may_wait) {
        waited_for_backend_ += settings_.backend_poll;
        phase_ = phase::waiting;
        retry_time_ = now + settings_.backend_poll;
        set_wake(now, out);
        return out;
    }
    give_answer_up({.type = refusal_type::no_backend, .retry_after = retry_after}, out);
    return out;
}

delivery_effects request_delivery::give_up(refusal_type type, duration retry_after) {
    CAMPHOR_PRECONDITION(phase_ == phase::choosing);
    delivery_effects out;
    give_answer_up({.type = type, .retry_after = retry_after}, out);
    return out;
}

delivery_effects request_delivery::on_part(std::uint32_t attempt_number, const part_source& from,
                                           numbered_part arrived, time_point now,
                                           retry_budget& budget, random_source& random) {
    delivery_effects out;
    if (phase_ != phase::running || attempt_number != number_) {
        out.emplace_back(cancel_sent_attempt{attempt_number, from.agent});
        return out;
    }
    const context at{now, &budget, &random, &out};
    const bool repeated = arrived.sequence < parts_.next_sequence();
    const part_source& source = parts_.source();
    const bool replaced =
        from.agent == source.agent && source.life != incarnation{} && source.life < from.life;
    if (replaced) {
        // A later life speaks, so the one that has the attempt never will.
        fail_attempt({}, at);
        set_wake(now, out);
        return out;
    }
    for (const part& next : parts_.accept(from, std::move(arrived))) {
        last_part_ = now;
        if (phase_ != phase::running || attempt_number != number_) {
            break;
        }
        if (is_last(next)) {
            acknowledge(at);
        }
        current_.on_part(next);
        take_part(next, at);
    }
    if (phase_ == phase::running && attempt_number == number_) {
        const bool many = parts_.next_sequence() - acknowledged_ >= settings_.acknowledge_every;
        const bool late = parts_.next_sequence() > acknowledged_ &&
                          now - acknowledged_at_ >= settings_.acknowledge_within;
        const bool missing = parts_.gap() && asked_for_ != parts_.next_sequence();
        if (many || late || missing || repeated) {
            acknowledge(at);
        }
    }
    set_wake(now, out);
    return out;
}

void request_delivery::acknowledge(const context& at) {
    acknowledged_ = parts_.next_sequence();
    acknowledged_at_ = at.now;
    if (parts_.gap()) {
        asked_for_ = acknowledged_;
    }
    at.out->emplace_back(acknowledge_parts{number_, parts_.source().agent, acknowledged_});
}

void request_delivery::fail_attempt(const setback& why, const context& at) {
    if (!current_.ended()) {
        current_.give_up();
        cancel_current(*at.out);
    }
    if (!may_retry(why, at)) {
        give_answer_up(why, *at.out);
        return;
    }
    earlier_ = run();
    current_ = attempt{};
    ++number_;
    const bool at_once = why.free && failures_ == 0;
    const duration wait =
        at_once ? duration{0} : draw_backoff(settings_.backoff, failures_, *at.random);
    ++failures_;
    retry_at(at.now + wait, at);
}

bool request_delivery::may_retry(const setback& why, const context& at) {
    if (why.final || request_.rule == repeat_rule::once_only) {
        return false;
    }
    if (number_ >= settings_.most_attempts || at.now >= request_.deadline) {
        return false;
    }
    // It may have ended a second backend server: a third run is not risked.
    if (sent_as_suspect_ && current_.run() != run_knowledge::not_run) {
        return false;
    }
    if (head_forwarded_ && !resume_.possible()) {
        return false;
    }
    return why.free || at.budget->try_spend();
}

void request_delivery::retry_at(time_point when, const context& at) {
    if (when >= request_.deadline) {
        give_answer_up({.type = refusal_type::deadline}, *at.out);
    } else if (when <= at.now) {
        ask_for_backend(*at.out);
    } else {
        phase_ = phase::waiting;
        retry_time_ = when;
    }
}

void request_delivery::ask_for_backend(delivery_effects& out) {
    phase_ = phase::choosing;
    out.emplace_back(choose_backend{number_, tried_});
}

void request_delivery::send(time_point now, delivery_effects& out) {
    current_.on_sent();
    last_sent_ = now;
    const part_source& to = parts_.source();
    const duration left = request_.deadline - now;
    // What the agent knows at its deadline, such as "not run", has to arrive before ours.
    const duration told = left - std::min(settings_.answer_margin, left / 4);
    out.emplace_back(send_attempt{number_, to.agent, to.life, told, suspect_});
}

void request_delivery::cancel_current(delivery_effects& out) {
    out.emplace_back(cancel_sent_attempt{number_, parts_.source().agent});
}

delivery_effects request_delivery::on_agent_gone(const node_id& agent, incarnation life,
                                                 time_point now, retry_budget& budget,
                                                 random_source& random) {
    delivery_effects out;
    const part_source& source = parts_.source();
    const bool concerned = phase_ == phase::running && source.agent == agent && source.life < life;
    if (concerned) {
        fail_attempt({}, {now, &budget, &random, &out});
        set_wake(now, out);
    }
    return out;
}

delivery_effects request_delivery::on_timer(time_point now, retry_budget& budget,
                                            random_source& random) {
    delivery_effects out;
    if (phase_ == phase::ended || phase_ == phase::idle) {
        return out;
    }
    if (now >= request_.deadline) {
        if (phase_ == phase::running) {
            current_.give_up();
            cancel_current(out);
        }
        give_answer_up({.type = refusal_type::deadline}, out);
        return out;
    }
    const context at{now, &budget, &random, &out};
    if (phase_ == phase::waiting && now >= retry_time_) {
        ask_for_backend(out);
    } else if (phase_ == phase::running) {
        check_running(at);
    }
    set_wake(now, out);
    return out;
}

void request_delivery::check_running(const context& at) {
    const bool sent = current_.state() == attempt_state::sent;
    const bool started = current_.state() == attempt_state::started;
    if ((sent && at.now >= first_sent_ + settings_.accept_timeout) ||
        (started && at.now >= last_part_ + settings_.silence_timeout)) {
        fail_attempt({}, at);
        return;
    }
    if (at.now < std::max(last_sent_, last_part_) + settings_.resend_after) {
        return;
    }
    // A repeated message may reach a later life of the agent, unless it names the life it is for.
    const bool safe =
        request_.rule != repeat_rule::once_only || parts_.source().life != incarnation{};
    if (sent && safe) {
        send(at.now, *at.out);
    } else if (parts_.gap()) {
        last_sent_ = at.now;
        acknowledge(at);
    }
}

delivery_effects request_delivery::on_caller_gone(time_point /*now*/) {
    delivery_effects out;
    if (phase_ == phase::ended) {
        return out;
    }
    if (phase_ == phase::running) {
        current_.give_up();
        cancel_current(out);
    }
    end(false, out);
    return out;
}

time_point request_delivery::next_due() const {
    if (phase_ == phase::waiting) {
        return std::min(retry_time_, request_.deadline);
    }
    if (phase_ != phase::running) {
        return request_.deadline;
    }
    time_point due = request_.deadline;
    if (current_.state() == attempt_state::sent) {
        due = std::min(due, first_sent_ + settings_.accept_timeout);
    }
    if (current_.state() == attempt_state::sent || parts_.gap()) {
        due = std::min(due, std::max(last_sent_, last_part_) + settings_.resend_after);
    }
    if (current_.state() == attempt_state::started) {
        due = std::min(due, last_part_ + settings_.silence_timeout);
    }
    return due;
}

void request_delivery::set_wake(time_point now, delivery_effects& out) {
    if (phase_ == phase::ended) {
        return;
    }
    const time_point due = next_due();
    if (wake_ && *wake_ > now && *wake_ <= due) {
        return;
    }
    wake_ = due;
    out.emplace_back(wake_at{due});
}

void request_delivery::give_answer_up(const setback& why, delivery_effects& out) {
    refusal reason{why.type, run(), why.retry_after};
    if (request_.rule != repeat_rule::repeatable && reason.run != run_knowledge::not_run) {
        reason.type = refusal_type::outcome_unknown;
    }
    if (!head_forwarded_) {
        out.emplace_back(refuse_caller{reason});
    } else {
        if (request_.stream) {
            out.emplace_back(forward_to_caller{http_chunk{incomplete_event(reason)}});
        }
        out.emplace_back(forward_to_caller{call_failure{call_failure_kind::broken}});
    }
    end(false, out);
}

void request_delivery::end(bool whole, delivery_effects& out) {
    phase_ = phase::ended;
    out.emplace_back(delivery_ended{run(), whole, generated_, sent_});
}

} // namespace camphorgrade::delivery
