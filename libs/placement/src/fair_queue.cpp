#include <placement/fair_queue.h>

#include <kernel/check.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::placement {

namespace {

constexpr double ms_per_s = 1000;
constexpr duration shortest_retry_after{100};

} // namespace

fair_queue::fair_queue(fair_queue_settings settings) : settings_(settings) {
    CAMPHOR_PRECONDITION(settings.engine_tokens_per_s > 0);
}

std::optional<refused_request> fair_queue::push(queued_request request, time_point now) {
    if (const auto reason = refusal_for(request, now)) {
        return refused_request{std::move(request), *reason,
                               std::max(shortest_retry_after, drain_time() / 2)};
    }
    account& owner = accounts_[request.client_account];
    if (owner.waiting.empty()) {
        lift(owner);
    }
    const duration lead =
        settings_.short_lead_per_token * static_cast<std::int64_t>(request.max_tokens);
    owner.tokens += request.cost();
    tokens_ += request.cost();
    ++size_;
    owner.waiting.emplace(place{request.arrival + lead, ++sequence_}, std::move(request));
    return std::nullopt;
}

std::optional<queued_request> fair_queue::take(const startable& can_start) {
    account* chosen = nullptr;
    std::map<place, queued_request>::iterator next;
    for (auto& [name, each] : accounts_) {
        if (chosen != nullptr && each.served >= chosen->served) {
            continue;
        }
        const auto found = std::ranges::find_if(
            each.waiting, [&](const auto& entry) { return can_start(entry.second.adapter); });
        if (found != each.waiting.end()) {
            chosen = &each;
            next = found;
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    queued_request taken = std::move(next->second);
    chosen->waiting.erase(next);
    forget(*chosen, taken);
    floor_ = std::max(floor_, chosen->served);
    chosen->served += taken.cost();
    return taken;
}

void fair_queue::credit(const std::string& client_account, std::uint64_t tokens) {
    const auto found = accounts_.find(client_account);
    if (found != accounts_.end()) {
        found->second.served -= std::min(tokens, found->second.served);
    }
}

std::vector<queued_request> fair_queue::expire(time_point now) {
    return remove([now](const queued_request& each) { return each.deadline <= now; });
}

std::vector<queued_request>
fair_queue::remove(const std::function<bool(const queued_request&)>& matches) {
    std::vector<queued_request> removed;
    for (auto& [name, each] : accounts_) {
        for (auto entry = each.waiting.begin(); entry != each.waiting.end();) {
            if (!matches(entry->second)) {
                ++entry;
                continue;
            }
            forget(each, entry->second);
            removed.push_back(std::move(entry->second));
            entry = each.waiting.erase(entry);
        }
    }
    return removed;
}

std::vector<adapter_backlog> fair_queue::backlogs() const {
    std::map<adapter_ref, adapter_backlog> sums;
    for (const auto& [name, each] : accounts_) {
        for (const auto& [key, request] : each.waiting) {
            adapter_backlog& sum = sums[request.adapter];
            const bool first = sum.callers == 0;
            sum.adapter = request.adapter;
            sum.due = first ? key.key : std::min(sum.due, key.key);
            sum.oldest = first ? request.arrival : std::min(sum.oldest, request.arrival);
            const std::uint64_t behind = floor_ - std::min(floor_, each.served);
            if (first || behind > sum.tokens_behind) {
                sum.furthest_behind = name;
                sum.tokens_behind = behind;
            }
            ++sum.callers;
        }
    }
    std::vector<adapter_backlog> all;
    all.reserve(sums.size());
    for (auto& [adapter, sum] : sums) {
        all.push_back(std::move(sum));
    }
    return all;
}

std::uint64_t
fair_queue::tokens_of(const std::function<bool(const queued_request&)>& matches) const {
    std::uint64_t sum = 0;
    for (const auto& [name, each] : accounts_) {
        for (const auto& [key, request] : each.waiting) {
            sum += matches(request) ? request.cost() : 0;
        }
    }
    return sum;
}

duration fair_queue::drain_time() const {
    const double seconds = static_cast<double>(tokens_) / settings_.engine_tokens_per_s;
    return duration{static_cast<std::int64_t>(seconds * ms_per_s)};
}

std::uint64_t fair_queue::served(const std::string& client_account) const {
    const auto found = accounts_.find(client_account);
    return found == accounts_.end() ? 0 : found->second.served;
}

std::optional<schedule_refusal> fair_queue::refusal_for(const queued_request& request,
                                                        time_point now) const {
    if (request.deadline <= now) {
        return schedule_refusal::deadline_passed;
    }
    const std::uint64_t cost = request.cost();
    if (tokens_ + cost > settings_.capacity_tokens) {
        return schedule_refusal::queue_full;
    }
    const auto owner = accounts_.find(request.client_account);
    const std::uint64_t own = owner == accounts_.end() ? 0 : owner->second.tokens;
    if (own > 0 && own + cost > settings_.capacity_tokens - tokens_) {
        return schedule_refusal::account_share_full;
    }
    if (request.deadline != time_point::max() && drain_time() > request.deadline - now) {
        return schedule_refusal::deadline_unreachable;
    }
    return std::nullopt;
}

void fair_queue::lift(account& back) {
    std::uint64_t least = floor_;
    bool found = false;
    for (const auto& [name, each] : accounts_) {
        if (!each.waiting.empty()) {
            least = found ? std::min(least, each.served) : each.served;
            found = true;
        }
    }
    back.served = std::max(back.served, least);
}

void fair_queue::forget(account& owner, const queued_request& request) {
    owner.tokens -= request.cost();
    tokens_ -= request.cost();
    --size_;
}

} // namespace camphorgrade::placement
