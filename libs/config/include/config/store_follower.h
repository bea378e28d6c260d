#pragma once

#include <kernel/clock.h>
#include <kernel/event.h>
#include <kernel/step.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::config {

/** How a store_follower spends calls. */
struct follower_timing {
    duration slow_poll{300'000};   /**< Between reads of a process that does not watch. */
    duration retry{500};           /**< After a failed call; doubles up to one of the next two. */
    duration watcher_retry{2'000}; /**< Few processes watch, and the others wait for them. */
    duration other_retry{30'000};

    friend bool operator==(const follower_timing&, const follower_timing&) = default;
};

/**
 * Follows one key or key range of the key-value service for a kernel service: watches it when told
 * to, otherwise reads it now and then. Has at most one call under way. Not thread safe.
 *
 * @code
 * void my_service::on_timer(token, step& now) { follower_.tick(watching, now); }
 * void my_service::on_kv_reply(token id, const kv_reply& reply, step& now) {
 *     for (const kv_entry& entry : follower_.on_reply(id, reply, now)) { learn(entry); }
 * }
 * @endcode
 */
class store_follower {
public:
    /** `service` makes the calls; `tag` tells its followers apart. Precondition: tag < 16. */
    store_follower(std::string service, token tag, kv_range range, follower_timing timing);

    /** Makes the call that is due, if any. Call it a few times a second. */
    void tick(bool watch, step& now);

    /** Whether a reply belongs to this follower. */
    bool owns(token id) const { return (id & tag_mask) == tag_; }

    /** Entries that are there or were written; deleted ones are left out. Precondition: owns(id).
     */
    std::vector<kv_entry> on_reply(token id, const kv_reply& reply, step& now);

    /** Reads again at the next tick, watching or not. */
    void read_soon(step& now);

    /** Whether the store was read at least once. */
    bool has_read() const noexcept { return next_read_.has_value(); }

    /** Whether the last call was answered by the store. */
    bool in_contact() const noexcept { return in_contact_; }

    /** Calls made so far. */
    std::uint64_t calls() const noexcept { return calls_; }

private:
    static constexpr token tag_mask = 0xf;

    void call(kv_request request, step& now);
    void answered(step& now);
    void failed(step& now);

    std::string service_;
    token tag_;
    kv_range range_;
    follower_timing timing_;
    token next_ = 1;
    std::optional<token> under_way_;
    std::int64_t position_ = 0; // next revision to watch from; 0 asks for a read first
    std::optional<time_point> next_read_;
    time_point not_before_{};
    duration backoff_;
    bool watching_ = false;
    bool in_contact_ = false;
    std::uint64_t calls_ = 0;
};

} // namespace camphorgrade::config
