#include <limits/gift_policy.h>

#include <algorithm>

namespace camphorgrade::limits {

namespace {

constexpr parts smallest_move = whole / 2'000; // less is not worth a message
constexpr std::int64_t full_per_cent = 95;
constexpr std::int64_t hundred = 100;

/** The giver's due part of `total`, in proportion to the demands. */
std::int64_t due_to_giver(std::int64_t total, const giver_state& giver,
                          const share_request& request) {
    const std::int64_t demands = giver.demand + request.demand;
    return demands == 0 ? total / 2 : scale_down(total, giver.demand, demands);
}

parts move_half_way(parts held, parts asker_holds, const giver_state& giver,
                    const share_request& request) {
    const parts due = due_to_giver(held + asker_holds, giver, request);
    const parts moved = (held - due) / 2;
    return moved < smallest_move ? 0 : moved;
}

/** Rate is lost where there is no room for it: a full giver keeps only what its demand is due. */
parts rate_to_give(const account_share& held, micro_tokens level, const giver_state& giver,
                   const share_request& request) {
    const bool full = level >= scale_down(held.capacity(), full_per_cent, hundred);
    if (!full) {
        return move_half_way(held.rate_parts(), request.rate_parts, giver, request);
    }
    const parts due = due_to_giver(held.rate_parts() + request.rate_parts, giver, request);
    const parts moved = held.rate_parts() - (giver.demand == 0 ? 0 : due);
    return moved < smallest_move ? 0 : moved;
}

} // namespace

share choose_gift(const account_share& held, const giver_state& giver, const share_request& request,
                  time_point now) {
    share gift;
    const micro_tokens level = held.level(now);
    const micro_tokens spare = std::max<micro_tokens>(level - giver.awaited, 0);
    const micro_tokens kept = due_to_giver(spare, giver, request);
    gift.level = std::min(request.tokens, spare - kept);
    gift.rate_parts = rate_to_give(held, level, giver, request);
    const parts needed = gift.level == 0 ? 0 : held.parts_to_hold(gift.level);
    const parts balance = move_half_way(held.burst_parts(), request.burst_parts, giver, request);
    // What stays must hold the tokens that stay.
    const parts for_rest = level == gift.level ? 0 : held.parts_to_hold(level - gift.level);
    const parts movable = std::max<parts>(held.burst_parts() - for_rest, 0);
    gift.burst_parts = std::max(std::min(balance, movable), needed);
    if (gift.burst_parts > held.burst_parts()) {
        gift.burst_parts = held.burst_parts();
        gift.level =
            std::min(gift.level, scale_down(held.account_burst(), gift.burst_parts, whole));
    }
    return gift;
}

} // namespace camphorgrade::limits
