#pragma once

#include <limits/account_share.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::limits {

/** What one member holds of each account, with what it gave away and must still count. */
using audit_holdings = std::map<std::string, share>;

/**
 * One round in which the auditing gateway asks every member what it holds, to find the parts that
 * nobody holds any more: those of dead gateways, and of transfers lost with a receiver.
 *
 * Complete only with the reports of all members that can still admit. Not thread safe.
 *
 * @code
 * share_audit audit(round, {generation_a, generation_b});
 * audit.report(generation_a, holdings);
 * if (audit.complete()) { const share rest = audit.unheld("tenant"); }
 * @endcode
 */
class share_audit {
public:
    /** Begins a round that waits for `members`. */
    share_audit(std::uint64_t round, std::set<std::uint64_t> members);

    std::uint64_t round() const noexcept { return round_; }

    /** Members that have not yet reported. */
    const std::set<std::uint64_t>& missing() const noexcept { return missing_; }

    /** A member's report; counts once. Reports of others are ignored. */
    void report(std::uint64_t member, const audit_holdings& held);

    bool complete() const { return missing_.empty(); }

    /** The parts of that account that nobody holds; without tokens. Precondition: complete(). */
    share unheld(const std::string& client_account) const;

private:
    std::uint64_t round_;
    std::set<std::uint64_t> missing_;
    audit_holdings held_;
};

/**
 * Number of an audit round: later epochs, then later counts, come after; `rank`, the auditor's
 * place among the members, keeps the rounds of two auditors apart. Preconditions: `epoch` below
 * 2^24, `rank` below 2^16. `count` wraps into 24 bits. Thread safe.
 */
std::uint64_t audit_round(std::uint64_t epoch, std::uint64_t count, std::uint64_t rank);

/** The count in such a number. Thread safe. */
std::uint64_t count_of_round(std::uint64_t round);

} // namespace camphorgrade::limits
