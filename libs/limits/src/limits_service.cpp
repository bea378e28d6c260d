#include <limits/limits_service.h>

#include <kernel/check.h>
#include <kernel/micro_kernel.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::limits {

namespace {

constexpr duration longest_tick{250};
constexpr duration shortest_tick{1};
constexpr duration standing_retry{1'000};

void count(account_metrics& counts, refusal_reason reason) {
    switch (reason) {
    case refusal_reason::no_standing:
        ++counts.refused_no_standing;
        break;
    case refusal_reason::never_fits:
        ++counts.refused_never_fits;
        break;
    case refusal_reason::over_rate:
        ++counts.refused_over_rate;
        break;
    case refusal_reason::unknown_account:
    case refusal_reason::leaving:
        ++counts.refused_other;
        break;
    }
}

std::uint64_t whole_tokens(micro_tokens amount) {
    return static_cast<std::uint64_t>(amount / micro_tokens_per_token);
}

} // namespace

limits_service::limits_service(limits_options options) : options_(options) {}

void limits_service::attach(micro_kernel& kernel) {
    standing_ = &kernel.find<membership::standing_service>("standing");
    standing_->add_listener(*this);
}

void limits_service::start(step& now) {
    arm(now.time() + longest_tick, now);
}

void limits_service::on_timer(token id, step& now) {
    if (id != timer_) {
        return;
    }
    armed_.reset();
    const bool standing = standing_->has_standing(now.time());
    const bool balances = now.time() >= next_balance_ && generation_ != 0 && !leaving_;
    if (balances) {
        next_balance_ = now.time() + options_.balance_period;
    }
    for (account_entry& entry : accounts_) {
        if (!standing) {
            refuse_all_waiting(entry.second, refusal_reason::no_standing, now);
            continue;
        }
        drain(entry, now);
        refuse_expired(entry.second, now);
        continue_search(entry, now);
        if (balances) {
            balance(entry, now);
        }
    }
    for (const transfer& each : book_.due(now.time(), options_.resend_after)) {
        send_transfer(each, now);
    }
    if (leaving_) {
        give_all_away(now);
    }
    run_audit(now);
    arm_next(now);
}

void limits_service::set_accounts(const std::vector<account_limit>& accounts,
                                  std::uint64_t revision, step& now) {
    if (revision < revision_) {
        return;
    }
    revision_ = revision;
    std::set<std::string> named;
    for (const account_limit& each : accounts) {
        CAMPHOR_PRECONDITION(named.insert(each.client_account).second);
        account& of = accounts_[each.client_account];
        of.configured = true;
        of.held.set_limit(each, now.time());
        refuse_where(of, refusal_reason::never_fits, now, [&](const waiting_request& waiting) {
            return waiting.cost > of.held.account_burst();
        });
    }
    for (auto& [client_account, of] : accounts_) {
        if (named.count(client_account) == 0 && of.configured) {
            of.configured = false;
            of.held.set_limit({client_account, 0, 0}, now.time());
            refuse_all_waiting(of, refusal_reason::unknown_account, now);
        }
    }
    next_audit_ = now.time();
    arm(now.time() + shortest_tick, now);
}

admission limits_service::admit(const std::string& client_account, std::int64_t cost_tokens,
                                time_point deadline, step& now) {
    CAMPHOR_PRECONDITION(cost_tokens >= 0);
    const auto found = accounts_.find(client_account);
    if (found == accounts_.end() || !found->second.configured) {
        return {admission_state::refused, {}, {refusal_reason::unknown_account, {}}};
    }
    account& of = found->second;
    if (leaving_) {
        return refuse(of, refusal_reason::leaving, {});
    }
    if (cost_tokens > of.held.limit().burst_tokens) {
        return refuse(of, refusal_reason::never_fits, {});
    }
    if (!standing_->has_standing(now.time())) {
        return refuse(of, refusal_reason::no_standing, standing_retry);
    }
    const micro_tokens cost = cost_tokens * micro_tokens_per_token;
    const admission_ticket ticket{next_ticket_++};
    of.demand.add(cost, now.time());
    if (of.queue.empty() && try_charge(*found, cost, ticket, now)) {
        return {admission_state::admitted, ticket, {}};
    }
    const time_point until = std::min(deadline, now.time() + options_.longest_wait);
    const duration needed = time_to_grow(of, of.awaited + cost, now.time());
    if (now.time() < of.peers.dry_until && now.time() + needed > until) {
        return refuse(of, refusal_reason::over_rate, needed);
    }
    of.queue.push_back({ticket, cost, until});
    of.awaited += cost;
    ++of.counts.waited;
    waiting_.emplace(ticket, client_account);
    start_search(*found, now);
    arm_next(now);
    return {admission_state::waiting, ticket, {}};
}

micro_tokens limits_service::credit(admission_ticket ticket, std::int64_t unused_tokens,
                                    step& now) {
    CAMPHOR_PRECONDITION(unused_tokens >= 0);
    const auto found = admitted_.find(ticket);
    if (found == admitted_.end()) {
        return 0;
    }
    const admitted_request ended = std::move(found->second);
    admitted_.erase(found);
    account_entry& entry = *accounts_.find(ended.client_account);
    const micro_tokens unused = unused_tokens >= ended.cost / micro_tokens_per_token
                                    ? ended.cost
                                    : unused_tokens * micro_tokens_per_token;
    const micro_tokens given = entry.second.held.credit(ended.admission, unused, now.time());
    entry.second.counts.credited_tokens += whole_tokens(given);
    entry.second.counts.lost_credit_tokens += whole_tokens(unused - given);
    drain(entry, now);
    return given;
}

void limits_service::cancel(admission_ticket ticket, step& now) {
    const auto found = waiting_.find(ticket);
    if (found == waiting_.end()) {
        return;
    }
    account_entry& entry = *accounts_.find(found->second);
    waiting_.erase(found);
    std::deque<waiting_request>& queue = entry.second.queue;
    const auto place = std::find_if(queue.begin(), queue.end(), [&](const waiting_request& each) {
        return each.ticket == ticket;
    });
    entry.second.awaited -= place->cost;
    queue.erase(place);
    drain(entry, now);
}

std::vector<account_metrics> limits_service::metrics(time_point now) const {
    std::vector<account_metrics> all;
    all.reserve(accounts_.size());
    for (const auto& [client_account, of] : accounts_) {
        account_metrics each = of.counts;
        each.client_account = client_account;
        each.waiting = of.queue.size();
        each.level_tokens = static_cast<double>(of.held.level(now)) / micro_tokens_per_token;
        each.rate_share = static_cast<double>(of.held.rate_parts()) / whole;
        each.burst_share = static_cast<double>(of.held.burst_parts()) / whole;
        all.push_back(std::move(each));
    }
    return all;
}

void limits_service::on_epoch_changed(step& now) {
    if (standing_->generation() != generation_) {
        forget_everything(now);
    }
    std::set<std::uint64_t> members;
    for (const membership::epoch_member& each : standing_->record().members) {
        members.insert(each.generation);
    }
    for (const std::uint64_t each : members_) {
        if (members.count(each) == 0) {
            book_.forget(each);
        }
    }
    members_ = std::move(members);
    audit_.reset();
    next_audit_ = now.time();
    arm(now.time() + shortest_tick, now);
}

admission limits_service::refuse(account& of, refusal_reason reason, duration retry_after) const {
    count(of.counts, reason);
    return {admission_state::refused, {}, {reason, retry_after}};
}

std::optional<admission_ticket> limits_service::try_charge(account_entry& entry, micro_tokens cost,
                                                           admission_ticket ticket, step& now) {
    CAMPHOR_INVARIANT(standing_->has_standing(now.time()));
    const std::optional<std::uint64_t> charged = entry.second.held.charge(cost, now.time());
    if (!charged) {
        return std::nullopt;
    }
    ++entry.second.counts.granted;
    entry.second.counts.granted_tokens += whole_tokens(cost);
    admitted_.emplace(ticket, admitted_request{entry.first, *charged, cost});
    return ticket;
}

void limits_service::drain(account_entry& entry, step& now) {
    account& of = entry.second;
    if (!standing_->has_standing(now.time())) {
        return;
    }
    while (!of.queue.empty()) {
        const waiting_request front = of.queue.front();
        if (front.until < now.time() || !try_charge(entry, front.cost, front.ticket, now)) {
            return;
        }
        of.queue.pop_front();
        of.awaited -= front.cost;
        waiting_.erase(front.ticket);
        if (listener_ != nullptr) {
            listener_->on_admitted(front.ticket, now);
        }
    }
    of.peers.active = false;
}

void limits_service::refuse_waiting(account& of, std::size_t index, refusal_reason reason,
                                    step& now) {
    const waiting_request refused = of.queue[index];
    of.queue.erase(of.queue.begin() + static_cast<std::ptrdiff_t>(index));
    of.awaited -= refused.cost;
    waiting_.erase(refused.ticket);
    count(of.counts, reason);
    duration retry_after{};
    if (reason == refusal_reason::over_rate) {
        retry_after = time_to_grow(of, of.awaited + refused.cost, now.time());
    } else if (reason == refusal_reason::no_standing) {
        retry_after = standing_retry;
    }
    if (listener_ != nullptr) {
        listener_->on_refused(refused.ticket, {reason, retry_after}, now);
    }
}

void limits_service::refuse_where(account& of, refusal_reason reason, step& now,
                                  const std::function<bool(const waiting_request&)>& meant) {
    while (true) { // the listener may change the queue
        const auto found = std::find_if(of.queue.begin(), of.queue.end(), meant);
        if (found == of.queue.end()) {
            return;
        }
        refuse_waiting(of, static_cast<std::size_t>(found - of.queue.begin()), reason, now);
    }
}

void limits_service::refuse_all_waiting(account& of, refusal_reason reason, step& now) {
    refuse_where(of, reason, now, [](const waiting_request&) { return true; });
    of.peers.active = false;
}

void limits_service::refuse_hopeless(account& of, step& now) {
    micro_tokens ahead = 0;
    for (std::size_t i = 0; i < of.queue.size();) {
        const waiting_request& each = of.queue[i];
        if (now.time() + time_to_grow(of, ahead + each.cost, now.time()) > each.until) {
            refuse_waiting(of, i, refusal_reason::over_rate, now);
        } else {
            ahead += each.cost;
            ++i;
        }
    }
}

void limits_service::refuse_expired(account& of, step& now) {
    refuse_where(of, refusal_reason::over_rate, now,
                 [&](const waiting_request& each) { return each.until <= now.time(); });
}

duration limits_service::time_to_grow(const account& of, micro_tokens amount,
                                      time_point now) const {
    const micro_tokens missing = std::max<micro_tokens>(amount - of.held.level(now), 0);
    const std::int64_t rate = of.held.account_rate();
    if (missing == 0) {
        return {};
    }
    return rate == 0 ? duration::max() / 2 : duration{(missing + rate - 1) / rate};
}

void limits_service::forget_everything(step& now) {
    generation_ = standing_->generation();
    book_ = {};
    reported_.clear();
    audit_.reset();
    admitted_.clear();
    for (auto& [client_account, of] : accounts_) {
        const account_limit limit = of.held.limit();
        of.held = {};
        of.held.set_limit(limit, now.time());
        of.peers = {};
        refuse_all_waiting(of, refusal_reason::no_standing, now);
    }
}

void limits_service::arm(time_point at, step& now) {
    if (armed_ && *armed_ <= at) {
        return;
    }
    armed_ = at;
    now.emit(set_timer{std::string(name()), ++timer_, at});
}

void limits_service::arm_next(step& now) {
    time_point next = now.time() + longest_tick;
    for (const auto& [client_account, of] : accounts_) {
        if (of.queue.empty()) {
            continue;
        }
        const waiting_request& front = of.queue.front();
        next = std::min(next, of.held.holds_at(front.cost, now.time()));
        for (const waiting_request& each : of.queue) {
            next = std::min(next, each.until);
        }
        for (const auto& [peer, at] : of.peers.asked) {
            next = std::min(next, at + options_.answer_patience);
        }
        if (!of.peers.active) {
            next = std::min(next, of.peers.dry_until);
        }
    }
    if (!book_.settled()) {
        next = std::min(next, now.time() + options_.resend_after);
    }
    arm(std::max(next, now.time() + shortest_tick), now);
}

} // namespace camphorgrade::limits
