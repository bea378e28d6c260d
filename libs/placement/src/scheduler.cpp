#include <placement/scheduler.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::placement {

namespace {

constexpr std::size_t remembered_adapters = 512;
constexpr std::uint64_t tokens_per_kilotoken = 1000;
constexpr std::uint64_t short_answer_tokens = 128;
constexpr std::size_t most_wanted_reported = 16;
constexpr duration slow_half_life{300000};
constexpr duration fast_half_life{150000};
constexpr duration pressed_wait{1500};
constexpr duration pressed_memory{8000};
constexpr double ms_per_s = 1000;
constexpr double worth_scale = 1000;
constexpr duration reserved_bonus{10000};

} // namespace

scheduler::scheduler(scheduler_settings settings, fencing_number fencing, time_point now)
    : settings_(settings), table_(settings.slots, fencing, now), queue_(settings.queue),
      asked_(remembered_adapters, slow_half_life, fast_half_life) {}

std::optional<refused_request> scheduler::admit(const queued_request& request, time_point now) {
    if (table_.superseded()) {
        return refused_request{request, schedule_refusal::superseded, duration{}};
    }
    const auto failed = table_.failure_of(request.adapter);
    if (failed && failed->failures >= settings_.load_attempts && now < failed->retry_at) {
        return refused_request{request, schedule_refusal::load_failed, failed->retry_at - now};
    }
    const std::uint64_t key = digest(request.adapter);
    asked_.add(key, 1, now);
    known_.emplace(key, request.adapter);
    if (known_.size() > 2 * remembered_adapters) {
        std::erase_if(known_, [&](const auto& each) { return asked_.rate(each.first, now) <= 0; });
    }
    return queue_.push(request, now);
}

bool scheduler::cancel(std::uint64_t request) {
    return !queue_.remove([&](const queued_request& each) { return each.id == request; }).empty();
}

bool scheduler::permit(const adapter_ref& adapter, time_point expires, time_point now) {
    const load_readiness readiness = table_.readiness(adapter, now);
    const bool useful =
        readiness == load_readiness::ready || readiness == load_readiness::no_empty_slot;
    if (!useful || expires <= now) {
        return false;
    }
    return permits_.insert_or_assign(adapter, expires).second;
}

result_effect scheduler::on_result(const order_result& result, time_point now) {
    result_effect effect = table_.on_result(result, now);
    const auto* failed = std::get_if<adapter_load_failed>(&effect);
    if (failed != nullptr && failed->failures >= settings_.load_attempts) {
        refuse(queue_.remove(
                   [&](const queued_request& each) { return each.adapter == failed->adapter; }),
               schedule_refusal::load_failed, failed->retry_at - now);
        holds_.erase(failed->adapter);
    }
    return effect;
}

void scheduler::finished(const queued_request& request, std::uint64_t generated_tokens) {
    const std::uint64_t unused =
        request.max_tokens - std::min(request.max_tokens, generated_tokens);
    queue_.credit(request.client_account, unused);
}

agent_status scheduler::status(time_point now) const {
    agent_status status;
    const auto resident = [&](const queued_request& each) { return table_.resident(each.adapter); };
    status.short_tokens = queue_.tokens_of([&](const queued_request& each) {
        return resident(each) && each.max_tokens <= short_answer_tokens;
    });
    status.long_tokens = queue_.tokens_of(resident) - status.short_tokens;
    status.unloaded_tokens = queue_.tokens() - status.short_tokens - status.long_tokens;
    status.tokens_per_s = static_cast<std::uint64_t>(settings_.queue.engine_tokens_per_s);
    status.obtainable_slots = static_cast<std::uint32_t>(obtainable_slots());
    const auto least = victim(false, now);
    if (least && table_.count(slot_state::empty) == 0) {
        const double least_worth = worth(*least, now);
        status.victim_worth = static_cast<std::uint32_t>(least_worth * worth_scale);
    }
    for (const slot_view& each : table_.slots()) {
        if (each.state == slot_state::loading || each.state == slot_state::resident) {
            status.slots.push_back({digest(each.adapter), each.state == slot_state::resident,
                                    static_cast<std::uint32_t>(each.pins)});
        }
    }
    for (const adapter_backlog& each : queue_.backlogs()) {
        if (status.slots.size() >= settings_.slots.slots + most_wanted_reported) {
            break;
        }
        if (table_.state_of(each.adapter) == slot_state::empty) {
            status.slots.push_back({digest(each.adapter), false, each.callers});
        }
    }
    return status;
}

schedule scheduler::next(time_point now, std::size_t free_seats) {
    schedule decided;
    refuse_hopeless(now);
    decided.refusals = std::exchange(refusals_, {});
    start(decided, now, free_seats);
    const std::vector<adapter_backlog> backlogs = queue_.backlogs();
    hold_backlogged(backlogs, now);
    decided.wants = missing(backlogs, now);
    if (!settings_.paced) {
        for (const load_want& each : decided.wants) {
            permits_.try_emplace(each.adapter, time_point::max());
        }
    }
    order_loads(decided, now);
    close_a_slot(backlogs, now);
    if (settings_.prefetch && decided.wants.empty()) {
        add_prefetch(decided.wants, now);
    }
    std::erase_if(decided.wants, [&](const load_want& w) { return permitted(w.adapter, now); });
    decided.wants.resize(
        std::min({decided.wants.size(), settings_.most_wants, obtainable_slots()}));
    return decided;
}

void scheduler::refuse(std::vector<queued_request> requests, schedule_refusal reason,
                       duration retry_after) {
    for (queued_request& each : requests) {
        refusals_.push_back({std::move(each), reason, retry_after});
    }
}

void scheduler::refuse_hopeless(time_point now) {
    refuse(queue_.expire(now), schedule_refusal::deadline_passed, duration{});
    if (table_.superseded()) {
        refuse(queue_.remove([](const queued_request&) { return true; }),
               schedule_refusal::superseded, duration{});
    }
}

void scheduler::start(schedule& decided, time_point now, std::size_t free_seats) {
    const auto startable = [&](const adapter_ref& adapter) {
        return table_.resident(adapter) && !closed(adapter);
    };
    while (decided.starts.size() < free_seats) {
        auto taken = queue_.take(startable);
        if (!taken) {
            return;
        }
        pin hold = table_.hold(taken->adapter, now);
        decided.starts.push_back({std::move(*taken), std::move(hold)});
    }
}

void scheduler::hold_backlogged(const std::vector<adapter_backlog>& backlogs, time_point now) {
    std::map<adapter_ref, pin> kept;
    for (const adapter_backlog& each : backlogs) {
        const slot_state state = table_.state_of(each.adapter);
        const bool present = state == slot_state::loading || state == slot_state::resident;
        if (!present || closed(each.adapter)) {
            continue;
        }
        auto held = holds_.extract(each.adapter);
        if (held.empty()) {
            kept.emplace(each.adapter, table_.hold(each.adapter, now));
        } else {
            kept.insert(std::move(held));
        }
    }
    holds_ = std::move(kept);
}

std::vector<load_want> scheduler::missing(const std::vector<adapter_backlog>& backlogs,
                                          time_point now) {
    std::vector<load_want> wants;
    for (const adapter_backlog& each : backlogs) {
        const load_readiness readiness = table_.readiness(each.adapter, now);
        if (readiness != load_readiness::ready && readiness != load_readiness::no_empty_slot) {
            continue;
        }
        const placement_weights& weights = settings_.weights;
        if (now - each.oldest >= pressed_wait) {
            pressed_until_ = now + pressed_memory;
        }
        const duration callers = weights.per_caller * (each.callers - 1);
        const duration behind =
            weights.per_kilotoken_behind *
            static_cast<std::int64_t>(each.tokens_behind / tokens_per_kilotoken);
        const duration first = reserved_for_ == each.adapter ? reserved_bonus : duration{};
        wants.push_back({each.adapter, each.furthest_behind,
                         now - each.due + callers + std::min(behind, weights.most_behind) + first,
                         false});
    }
    std::ranges::stable_sort(
        wants, [](const load_want& a, const load_want& b) { return a.urgency > b.urgency; });
    return wants;
}

void scheduler::add_prefetch(std::vector<load_want>& wants, time_point now) const {
    const std::size_t empty = table_.count(slot_state::empty);
    if (empty == 0) {
        return;
    }
    std::vector<std::pair<double, adapter_ref>> candidates;
    for (const auto& [key, adapter] : known_) {
        if (table_.readiness(adapter, now) == load_readiness::ready) {
            candidates.emplace_back(asked_.rate(key, now), adapter);
        }
    }
    std::ranges::sort(candidates, std::greater<>{});
    candidates.resize(std::min(candidates.size(), empty));
    for (const auto& [rate, adapter] : candidates) {
        wants.push_back({adapter, "", duration{}, true});
    }
}

void scheduler::order_loads(schedule& decided, time_point now) {
    std::erase_if(permits_, [&](const auto& each) {
        const load_readiness readiness = table_.readiness(each.first, now);
        const bool useful =
            readiness == load_readiness::ready || readiness == load_readiness::no_empty_slot;
        return each.second <= now || !useful;
    });
    for (const load_want& each : decided.wants) {
        if (permits_.contains(each.adapter)) {
            start_load(decided, each.adapter, now);
        }
    }
    // What is left has no callers any more, or was a prefetch.
    const std::map<adapter_ref, time_point> left = permits_;
    for (const auto& [adapter, expires] : left) {
        start_load(decided, adapter, now);
    }
    make_room(decided, permits_.size(), now);
}

void scheduler::start_load(schedule& decided, const adapter_ref& adapter, time_point now) {
    const bool kept_back =
        reserved_for_ && reserved_for_ != adapter && table_.count(slot_state::empty) == 1;
    if (kept_back || table_.readiness(adapter, now) != load_readiness::ready) {
        return;
    }
    decided.orders.push_back(table_.load(adapter, now));
    const bool waited_for = std::ranges::any_of(
        decided.wants, [&](const load_want& w) { return w.adapter == adapter; });
    if (waited_for) {
        holds_.insert_or_assign(adapter, table_.hold(adapter, now));
    }
    permits_.erase(adapter);
}

void scheduler::make_room(schedule& decided, std::size_t needed, time_point now) {
    std::size_t coming = table_.count(slot_state::unloading);
    for (; coming < needed; ++coming) {
        const auto least = victim(false, now);
        if (!least) {
            return;
        }
        auto leave = table_.evictable(least->adapter);
        if (!leave) {
            return;
        }
        decided.orders.push_back(table_.evict(std::move(*leave), now));
    }
}

void scheduler::close_a_slot(const std::vector<adapter_backlog>& backlogs, time_point now) {
    const auto waits = [&](const adapter_backlog& each) {
        const load_readiness readiness = table_.readiness(each.adapter, now);
        return readiness == load_readiness::no_empty_slot || readiness == load_readiness::ready;
    };
    if (closing_ && !table_.resident(*closing_)) {
        closing_.reset();
    }
    if (reserved_for_) {
        const bool still = std::ranges::any_of(backlogs, [&](const adapter_backlog& each) {
            return each.adapter == *reserved_for_ && waits(each);
        });
        if (still) {
            return;
        }
        reserved_for_.reset();
        closing_.reset();
    }
    const auto oldest = std::ranges::min_element(backlogs, {}, [&](const adapter_backlog& each) {
        return waits(each) ? each.oldest : time_point::max();
    });
    const bool starving =
        oldest != backlogs.end() && waits(*oldest) && now - oldest->oldest >= settings_.patience;
    if (!starving || obtainable_slots() > 0) {
        return;
    }
    if (const auto least = victim(true, now)) {
        closing_ = least->adapter;
        reserved_for_ = oldest->adapter;
        holds_.erase(least->adapter);
    }
}

std::optional<slot_view> scheduler::victim(bool pinned, time_point now) const {
    std::optional<slot_view> least;
    double least_worth = 0;
    for (const slot_view& each : table_.slots()) {
        if (each.state != slot_state::resident || (each.pins > 0) != pinned) {
            continue;
        }
        const double value = worth(each, now);
        if (!least || value < least_worth) {
            least = each;
            least_worth = value;
        }
    }
    return least;
}

double scheduler::worth(const slot_view& slot, time_point now) const {
    if (closed(slot.adapter)) {
        return -1;
    }
    const duration idle = now - slot.last_used + duration{1};
    const double recency = ms_per_s / static_cast<double>(idle.count());
    const bool by_recency = !settings_.keep_popular || now < pressed_until_;
    return by_recency ? recency : asked_.rate(digest(slot.adapter), now);
}

std::size_t scheduler::obtainable_slots() const {
    std::size_t obtainable = table_.count(slot_state::empty) + table_.count(slot_state::unloading);
    for (const slot_view& each : table_.slots()) {
        obtainable += each.state == slot_state::resident && each.pins == 0 ? 1 : 0;
    }
    return obtainable - std::min(obtainable, permits_.size());
}

bool scheduler::permitted(const adapter_ref& adapter, time_point now) const {
    const auto found = permits_.find(adapter);
    return found != permits_.end() && now < found->second;
}

} // namespace camphorgrade::placement
