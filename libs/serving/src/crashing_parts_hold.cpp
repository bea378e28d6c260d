#include <serving/crashing_parts.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::serving {

void crashing_parts::set_rank(std::size_t rank, std::size_t gateways) {
    CAMPHOR_PRECONDITION(rank < gateways);
    rank_ = rank;
    gateways_ = gateways;
}

std::optional<duration> crashing_parts::retry_after(const std::vector<prompt_part>& prompt,
                                                    time_point now) const {
    std::optional<duration> longest;
    if (held_.empty()) {
        return longest;
    }
    for (const auto part : parts_of(prompt)) {
        if (held_.contains(part)) {
            // A wrong hold ends soon after it began, so callers come back early then.
            const auto wait = std::clamp(now - suspects_.at(part).held_since,
                                         settings_.min_retry_after, settings_.max_retry_after);
            longest = std::max(wait, longest.value_or(wait));
        }
    }
    return longest;
}

std::optional<std::uint64_t>
crashing_parts::held_part(const std::vector<prompt_part>& prompt) const {
    for (const auto part : parts_of(prompt)) {
        if (held_.contains(part)) {
            return part;
        }
    }
    return std::nullopt;
}

bool crashing_parts::has_turn(const candidate& each, time_point now) const {
    const auto turns = (now - each.second.held_until) / settings_.trial_turn;
    return (each.first + static_cast<std::uint64_t>(turns)) % gateways_ == rank_;
}

bool crashing_parts::try_trial(const std::vector<prompt_part>& prompt, time_point now) {
    std::vector<suspect*> tried;
    for (const auto part : parts_of(prompt)) {
        if (!held_.contains(part)) {
            continue;
        }
        auto& each = *suspects_.find(part);
        const auto began = each.second.trial_began;
        const bool is_under_way = began && now - *began < settings_.trial_turn;
        if (!each.second.is_on_trial || is_under_way || !has_turn(each, now)) {
            return false;
        }
        tried.push_back(&each.second);
    }
    for (auto* each : tried) {
        each->trial_began = now;
    }
    return !tried.empty();
}

} // namespace camphorgrade::serving
