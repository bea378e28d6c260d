#pragma once

#include <placement/adapter_ref.h>

#include <kernel/clock.h>

#include <cstdint>
#include <string>

namespace camphorgrade::placement {

/** A request as the scheduler of an agent sees it. A value type. */
struct queued_request {
    std::uint64_t id = 0; /**< Unique within the agent's life. */
    std::string client_account;
    adapter_ref adapter;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t max_tokens = 0;
    time_point arrival;
    time_point deadline = time_point::max(); /**< Not started by then, it is refused. */

    /** What it may cost at most. */
    std::uint64_t cost() const noexcept { return prompt_tokens + max_tokens; }

    friend bool operator==(const queued_request&, const queued_request&) = default;
};

/** Why a request provably does not run here. */
enum class schedule_refusal {
    queue_full,
    account_share_full,   /**< Its client account has filled its part of the queue. */
    deadline_unreachable, /**< What stands before it takes longer than it may wait. */
    deadline_passed,
    load_failed, /**< Its adapter could not be loaded. */
    superseded   /**< Another agent has taken the engine over. */
};

/** A request that does not run here, why, and when trying again makes sense. A value type. */
struct refused_request {
    queued_request request;
    schedule_refusal reason = schedule_refusal::queue_full;
    duration retry_after{};

    friend bool operator==(const refused_request&, const refused_request&) = default;
};

} // namespace camphorgrade::placement
