#pragma once

#include <delivery/part.h>
#include <kernel/clock.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace camphorgrade::delivery {

/**
 * The agent's side of part_sequencer: numbers the parts of one attempt and keeps each until the
 * gateway has acknowledged it. Not thread safe.
 *
 * @code
 * part_outbox outbox(duration{200});
 * send(outbox.add(part_head{...}, now));
 * outbox.acknowledge(acknowledged.next_sequence());
 * for (const numbered_part& again : outbox.due(now)) { send(again); }
 * @endcode
 */
class part_outbox {
public:
    /** Most parts that one call of due() or again() returns. */
    static constexpr std::size_t max_resent = 64;

    /** Parts come due `resend_after` after they were last sent. Precondition: positive. */
    explicit part_outbox(duration resend_after);

    /** Numbers a part and keeps it. Precondition: the last part was not added yet. */
    numbered_part add(part next, time_point now);

    /** The gateway has all parts below `next_sequence`. Returns whether any was new. */
    bool acknowledge(std::uint64_t next_sequence);

    /** Unacknowledged parts that were last sent long enough ago; counts them as sent now. */
    std::vector<numbered_part> due(time_point now);

    /** First unacknowledged parts, for a gateway that asks again; counts them as sent now. */
    std::vector<numbered_part> again(time_point now);

    /** Whether the last part was added and all are acknowledged. */
    bool settled() const noexcept { return complete_ && kept_.empty(); }

    /** Whether the last part was added. */
    bool complete() const noexcept { return complete_; }

private:
    struct kept_part {
        numbered_part content;
        time_point sent;
    };

    duration resend_after_;
    std::uint64_t next_ = 0;
    bool complete_ = false;
    std::deque<kept_part> kept_;
};

} // namespace camphorgrade::delivery
