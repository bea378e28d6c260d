#pragma once

#include <kernel/clock.h>

namespace camphorgrade::delivery {

/** How many retries a gateway may make. A value type. */
struct retry_budget_settings {
    double share = 0.09; /**< Retries allowed for each first attempt; in [0, 1]. */
    double reserve = 10; /**< Retries allowed at the start and the most saved up. */

    friend bool operator==(const retry_budget_settings&, const retry_budget_settings&) = default;
};

/**
 * Bounds retries to a share of the traffic of one gateway: each first attempt earns a part of a
 * token, each retry spends one. In an outage, retries so cannot multiply the load.
 * Not thread safe.
 *
 * @code
 * retry_budget budget({.share = 0.1});
 * budget.on_first_attempt();
 * if (budget.try_spend()) { retry(); }
 * @endcode
 */
class retry_budget {
public:
    /** Preconditions: share in [0, 1]; reserve not negative. */
    explicit retry_budget(retry_budget_settings settings);

    void on_first_attempt() noexcept;

    /** Takes one token if there is one. */
    bool try_spend() noexcept;

    double tokens() const noexcept { return tokens_; }

private:
    retry_budget_settings settings_;
    double tokens_;
};

} // namespace camphorgrade::delivery
