#pragma once

#include <kernel/clock.h>
#include <kernel/ids.h>
#include <kernel/step.h>

#include <cstdint>
#include <string>

namespace camphorgrade::limits {

/** Names one admission of one gateway life. */
using admission_ticket = strong_id<struct admission_ticket_tag, std::uint64_t>;

/** Why a request is not admitted. The request has not run in any of these cases. */
enum class refusal_reason {
    no_standing,     /**< This gateway cannot prove that it is up to date. Try another. */
    unknown_account, /**< No such client account in force here, or it was removed. */
    never_fits,      /**< It costs more than the account's burst: refused for good. */
    over_rate,       /**< Not enough tokens in time. */
    leaving          /**< This gateway has handed its shares back. */
};

/** A request that is not admitted; it provably has not run. A value type. */
struct admission_refusal {
    refusal_reason reason = refusal_reason::over_rate;
    duration retry_after{}; /**< When it may fit; zero when it never will. */

    friend bool operator==(const admission_refusal&, const admission_refusal&) = default;
};

/** How far a request has come. */
enum class admission_state { admitted, waiting, refused };

/** Answer to limits_service::admit(). A value type. */
struct admission {
    admission_state state = admission_state::refused;
    admission_ticket ticket;   /**< Unless refused. */
    admission_refusal refusal; /**< When refused. */

    friend bool operator==(const admission&, const admission&) = default;
};

/** Told of requests that had to wait. Called from the kernel's thread. */
class admission_listener {
public:
    virtual ~admission_listener() = default;

    /** The waiting request is admitted and charged, in this very step. */
    virtual void on_admitted(admission_ticket ticket, step& now) = 0;

    /** The waiting request is refused, as soon as that is certain. */
    virtual void on_refused(admission_ticket ticket, const admission_refusal& refusal,
                            step& now) = 0;
};

/** Counters of one client account on one gateway. A value type. */
struct account_metrics {
    std::string client_account;
    std::uint64_t granted = 0;
    std::uint64_t granted_tokens = 0;     /**< Charged at admission. */
    std::uint64_t credited_tokens = 0;    /**< Of those, given back. */
    std::uint64_t lost_credit_tokens = 0; /**< Unused, but not given back: the bound forbade it. */
    std::uint64_t waited = 0;
    std::uint64_t waiting = 0;
    std::uint64_t refused_no_standing = 0;
    std::uint64_t refused_never_fits = 0;
    std::uint64_t refused_over_rate = 0;
    std::uint64_t refused_other = 0;
    double level_tokens = 0;
    double rate_share = 0; /**< Part of the account's rate that this gateway holds. */
    double burst_share = 0;

    friend bool operator==(const account_metrics&, const account_metrics&) = default;
};

} // namespace camphorgrade::limits
