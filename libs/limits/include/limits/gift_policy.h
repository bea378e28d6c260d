#pragma once

#include <limits/account_share.h>

namespace camphorgrade::limits {

/** What a gateway that is short of tokens says of itself. A value type. */
struct share_request {
    micro_tokens tokens = 0; /**< How many it would like. */
    std::int64_t demand = 0; /**< Micro-tokens a second asked of it lately. */
    parts rate_parts = 0;    /**< What it holds. */
    parts burst_parts = 0;   /**< What it holds. */

    friend bool operator==(const share_request&, const share_request&) = default;
};

/** What the asked gateway says of itself. A value type. */
struct giver_state {
    std::int64_t demand = 0;  /**< Micro-tokens a second asked of it lately. */
    micro_tokens awaited = 0; /**< What its own waiting requests need. */

    friend bool operator==(const giver_state&, const giver_state&) = default;
};

/**
 * What to give a gateway that asks: tokens in proportion to the two demands, and half of the way
 * to rates and bursts in proportion to them. Always something that account_share::give() takes.
 * Thread safe.
 */
share choose_gift(const account_share& held, const giver_state& giver, const share_request& request,
                  time_point now);

} // namespace camphorgrade::limits
