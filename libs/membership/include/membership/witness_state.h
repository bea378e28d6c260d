#pragma once

#include <kernel/clock.h>
#include <membership/epoch_record.h>

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace camphorgrade::membership {

/**
 * What one witness knows of the gateways and which of them it vouches for.
 *
 * A seal is for good: a witness never again vouches for a sealed generation. So once a majority
 * holds the seal and the validity of earlier grants has run out, that generation never admits
 * again. Kept in memory only: a restarted process is another life, which no epoch names yet.
 * Not thread safe.
 *
 * @code
 * witness_state state(self, duration{4'000});
 * state.adopt(record, now);
 * state.hear(generation, now);
 * const bool granted = state.vouches(epoch, generation);
 * @endcode
 */
class witness_state {
public:
    /** A member not heard of for `silent_after` counts as silent. */
    witness_state(node_life self, duration silent_after);

    /** Takes over `record` if it is newer than the one known; returns whether it was. */
    bool adopt(const epoch_record& record, time_point now);

    const epoch_record& record() const noexcept { return record_; }

    /** The member of that generation probed. */
    void hear(std::uint64_t generation, time_point now);

    /** Seals that generation if it is a silent member. */
    void seal_if_silent(std::uint64_t generation, time_point now);

    /** Takes over another witness's seals. */
    void merge_seals(const std::vector<std::uint64_t>& generations);

    bool is_sealed(std::uint64_t generation) const { return sealed_.count(generation) != 0; }

    /** Sealed members of the epoch, ascending. */
    std::vector<std::uint64_t> sealed() const { return {sealed_.begin(), sealed_.end()}; }

    /** Members not heard of lately, ascending. */
    std::vector<std::uint64_t> silent(time_point now) const;

    /** Whether this process, in this life, is a witness of the epoch. */
    bool is_witness() const;

    /** Whether it holds all facts that earlier witnesses held, and so may vouch. */
    bool ready() const { return is_witness() && ready_version_ == record_.witness_version; }

    /** The set of witnesses whose facts it holds; see epoch_record::witness_version. */
    std::uint64_t ready_version() const noexcept { return ready_version_; }

    /**
     * A previous witness that knows of the epoch handed over all its facts.
     * Once a majority of them has, this witness is ready.
     */
    void pulled_from(const node_id& previous_witness);

    /** Whether it vouches for a gateway that knows `epoch` and holds shares as `generation`. */
    bool vouches(std::uint64_t epoch, std::uint64_t generation) const;

private:
    node_life self_;
    duration silent_after_;
    epoch_record record_;
    std::map<std::uint64_t, time_point> heard_;
    std::set<std::uint64_t> sealed_;
    std::set<node_id> pulled_;
    std::uint64_t ready_version_ = 0;
};

} // namespace camphorgrade::membership
