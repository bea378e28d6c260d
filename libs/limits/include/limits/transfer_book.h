#pragma once

#include <kernel/clock.h>
#include <limits/account_share.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace camphorgrade::limits {

/** A share that this gateway gave away and that is not yet acknowledged. A value type. */
struct transfer {
    std::uint64_t receiver = 0; /**< Generation. */
    std::uint64_t sequence = 0; /**< Counts up for each receiver. */
    std::uint64_t round = 0;    /**< The giver's audit round when it gave. */
    std::string client_account;
    share given;

    friend bool operator==(const transfer&, const transfer&) = default;
};

/** What to do with a transfer that arrived. */
enum class transfer_verdict {
    apply,     /**< New: add it, then acknowledge. */
    duplicate, /**< Already applied: acknowledge only. */
    too_early, /**< Given in an audit round that this gateway has not joined: wait for a resend. */
    refused    /**< From a generation that never counts again: ignore. */
};

/**
 * Makes transfers between gateways count exactly once, and makes audits see a consistent cut.
 *
 * A gateway gives by debiting itself, then records the transfer here, where it stays until it is
 * acknowledged. Audit rounds colour the messages, as in a Chandy-Lamport snapshot: nothing given
 * after the giver's report is applied before the receiver's, and a giver reports as held whatever
 * the receiver may not have reported. So an audit never counts less than there is. Not thread safe.
 *
 * @code
 * const transfer& sent = book.give(receiver, "tenant", part, now);
 * for (const transfer& each : book.due(now, resend_after)) { ... }
 * book.acknowledge(receiver, sequence, round);
 * @endcode
 */
class transfer_book {
public:
    /** Records a gift that was debited. The reference holds until the next call. */
    const transfer& give(std::uint64_t receiver, const std::string& client_account,
                         const share& given, time_point now);

    /** Transfers last sent `resend_after` ago or longer; marks them as sent now. */
    std::vector<transfer> due(time_point now, duration resend_after);

    /** The receiver, in its audit round `round`, has applied the transfer. */
    void acknowledge(std::uint64_t receiver, std::uint64_t sequence, std::uint64_t round);

    /** Judges an arriving transfer; after `apply` it counts as applied. */
    transfer_verdict judge(std::uint64_t giver, std::uint64_t sequence, std::uint64_t round);

    /** The audit round joined last. */
    std::uint64_t round() const noexcept { return round_; }

    /**
     * Joins a newer audit round in which `dead` generations do not count; returns, by client
     * account, what this gateway has given away and must still report as held.
     * Precondition: `round` is larger than round().
     */
    std::map<std::string, share> join(std::uint64_t round, const std::set<std::uint64_t>& dead);

    /** Forgets a generation that is no longer a member. */
    void forget(std::uint64_t generation);

    /** Whether nothing is under way. */
    bool settled() const { return outgoing_.empty(); }

    /** Number of transfers under way. */
    std::size_t under_way() const { return outgoing_.size(); }

private:
    struct outgoing {
        transfer content;
        time_point sent_at;
    };

    /** Acknowledged by a receiver that had already joined a later round than this gateway. */
    struct late {
        std::string client_account;
        share given;
        std::uint64_t round = 0;
    };

    /** Sequence numbers applied: all below `next`, and those in `beyond`. */
    struct applied {
        std::uint64_t next = 1;
        std::set<std::uint64_t> beyond;
    };

    std::map<std::uint64_t, std::map<std::uint64_t, outgoing>> outgoing_;
    std::map<std::uint64_t, std::uint64_t> next_sequence_;
    std::map<std::uint64_t, applied> applied_;
    std::vector<late> late_;
    std::set<std::uint64_t> dead_;
    std::uint64_t round_ = 0;
};

} // namespace camphorgrade::limits
