#pragma once

#include <kernel/clock.h>
#include <kernel/event.h>
#include <kernel/step.h>

#include <optional>
#include <string>

namespace camphorgrade::delivery {

/** Times of a bucket_lease. A value type. */
struct bucket_lease_settings {
    duration retention{86'400'000}; /**< Keys live at least so long after they were written. */
    duration bucket{3'600'000};     /**< Keys written within this time share a lease. */
    duration retry_after{500};      /**< Wait after a grant that failed. */

    friend bool operator==(const bucket_lease_settings&, const bucket_lease_settings&) = default;
};

/**
 * Gives keys a bounded life for one lease grant per bucket of time and no renewals: a lease lives
 * for the retention and two buckets, is replaced after one and no longer used after two.
 * Not thread safe.
 */
class bucket_lease {
public:
    /** Calls of the key-value service are made in the name of `service` with token `call`. */
    bucket_lease(std::string service, token call, bucket_lease_settings settings);

    /** A lease that outlives the retention from `now` on; nullopt while there is none. */
    std::optional<std::int64_t> usable(time_point now) const;

    /** Asks for a lease when it is time for one. Call it whenever one may be needed. */
    void refresh(step& now);

    /** The grant was answered. */
    void on_reply(const kv_reply& reply, step& now);

    /** When refresh() can next do something about a missing lease. */
    time_point next_try() const noexcept { return next_try_; }

    /** The store seems not to know the lease: get another. */
    void distrust() noexcept { id_.reset(); }

    std::uint64_t grants() const noexcept { return grants_; }

private:
    std::string service_;
    token call_;
    bucket_lease_settings settings_;
    std::optional<std::int64_t> id_;
    time_point since_;
    time_point asked_;
    time_point next_try_;
    bool asking_ = false;
    std::uint64_t grants_ = 0;
};

} // namespace camphorgrade::delivery
