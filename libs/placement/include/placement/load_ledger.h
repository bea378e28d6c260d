#pragma once

#include <placement/load_want.h>
#include <placement/popularity.h>

#include <kernel/clock.h>
#include <kernel/ids.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace camphorgrade::placement {

/** What the weight store allows the whole fleet. A value type. */
struct store_limit {
    double loads_per_s = 4;
    std::size_t parallel = 8;     /**< More loads in flight make each take longer. */
    duration per_load_ahead{400}; /**< How much less urgent a client account's loads become with
                                       each that it had beyond its even share of late. */

    friend bool operator==(const store_limit&, const store_limit&) = default;
};

/** Leave for one agent to start one load. A value type. */
struct granted_load {
    std::uint64_t grant = 0; /**< Unique within the ledger's life. */
    node_id agent;
    adapter_ref adapter;

    friend bool operator==(const granted_load&, const granted_load&) = default;
};

/**
 * The director's account of the weight store: who wants which load, and what is in flight.
 *
 * Grants go to the most urgent want, at most `loads_per_s` with no burst beyond one load, and at
 * most `parallel` in flight; one whose end is never reported counts for three seconds. Prefetches
 * get only the part of the rate that nobody has asked for lately. A new ledger starts with nothing
 * to give, so that a change of directors never exceeds the rate. Not thread safe.
 *
 * @code
 * load_ledger ledger({.loads_per_s = 4}, now);
 * ledger.ask(agent, wants, now);
 * for (const granted_load& each : ledger.grants(now)) { tell(each); }
 * ledger.finished(agent, grant, now);
 * @endcode
 */
class load_ledger {
public:
    /** Preconditions: `limit.loads_per_s` > 0 and `limit.parallel` > 0. Grants count from
     * `first_grant`; two ledgers should not share numbers. */
    load_ledger(store_limit limit, time_point now, std::uint64_t first_grant = 1);

    /** Replaces what the agent wants; wants that are not repeated lapse. */
    void ask(const node_id& agent, std::vector<load_want> wants, time_point now);

    /** The load of a grant has ended or will not start. */
    void finished(const node_id& agent, std::uint64_t grant, time_point now);

    /** Grants what is due. */
    std::vector<granted_load> grants(time_point now);

    /** When grants() may give something, if nothing is reported before; nullopt when none waits. */
    std::optional<time_point> next_due(time_point now) const;

    std::size_t in_flight() const noexcept { return in_flight_.size(); }

private:
    static constexpr std::size_t remembered_accounts = 1024;
    static constexpr duration account_half_life{30000};

    struct asked {
        std::vector<load_want> wants;
        time_point at;
    };
    struct flight {
        node_id agent;
        time_point expires;
    };
    struct candidate {
        std::map<node_id, asked>::iterator agent;
        std::size_t index = 0;
    };

    std::optional<candidate> most_urgent(time_point now);
    void note_given(const std::string& client_account, time_point now);
    duration setback(const std::string& client_account, time_point now) const;
    bool prefetch_allowed(time_point now) const;
    duration interval() const;
    void forget_lapsed(time_point now);

    store_limit limit_;
    std::map<node_id, asked> asked_;
    std::map<std::uint64_t, flight> in_flight_;
    popularity given_{remembered_accounts, account_half_life, account_half_life};
    std::map<std::string, time_point> accounts_; /**< That had loads of late. */
    time_point next_grant_;
    time_point last_demand_;
    std::uint64_t next_grant_id_;
};

} // namespace camphorgrade::placement
