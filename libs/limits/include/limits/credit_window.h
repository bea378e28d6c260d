#pragma once

#include <limits/token_units.h>

#include <cstdint>
#include <map>

namespace camphorgrade::limits {

/**
 * Bounds what may be credited back for an admission, so that a credit never lets the account pass
 * its rate and burst in any window of time.
 *
 * A credit is right when the bucket could as well have been charged less at the admission. It
 * could not have kept more than its capacity meanwhile, so at most the smallest room that the
 * bucket had since the admission may come back. `observe` must see the room just before every
 * change of the bucket. Not thread safe; amortized cost is logarithmic in open admissions.
 *
 * @code
 * const std::uint64_t id = window.open();
 * window.observe(room);
 * const micro_tokens allowed = window.close(id, unused);
 * @endcode
 */
class credit_window {
public:
    /** Begins to follow an admission that was charged just now; returns its number. */
    std::uint64_t open();

    /** The bucket has `room` left up to its capacity. Precondition: not negative. */
    void observe(micro_tokens room);

    /**
     * Ends an admission of which `unused` was not used; returns how much may be credited.
     * The caller has just observed the present room, and credits the result at once.
     * Preconditions: the admission is open; `unused` is not negative.
     */
    micro_tokens close(std::uint64_t admission, micro_tokens unused);

    /** Admissions not yet closed. */
    std::size_t open_count() const noexcept { return open_; }

private:
    /** Admissions that have seen the same smallest room. */
    struct group {
        micro_tokens smallest = 0; /**< Room plus `lowered_` at that time. */
        std::size_t open = 0;
    };

    std::map<std::uint64_t, group> groups_; /**< By the first admission's number. */
    std::uint64_t next_ = 1;
    std::size_t open_ = 0;
    micro_tokens lowered_ = 0; /**< Sum of all credits asked for so far. */
};

} // namespace camphorgrade::limits
