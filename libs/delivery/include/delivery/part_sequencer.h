#pragma once

#include <delivery/part.h>
#include <kernel/ids.h>

#include <map>
#include <optional>
#include <vector>

namespace camphorgrade::delivery {

/** Who sends the parts of an attempt: one life of one agent. A value type. */
struct part_source {
    node_id agent;
    incarnation life;

    friend bool operator==(const part_source&, const part_source&) = default;
};

/**
 * Puts the parts of one attempt into order: each comes out once, in sequence, and only those of the
 * one agent life that the attempt belongs to. When the life is not known beforehand the first part
 * fixes it, so that a restarted agent's parts never mix into the answer. Not thread safe.
 *
 * @code
 * part_sequencer sequencer(part_source{agent, life});
 * for (const part& each : sequencer.accept(source, arrived)) { ... }
 * if (sequencer.gap()) { ask again from sequencer.next_sequence(); }
 * @endcode
 */
class part_sequencer {
public:
    /** Parts held beyond a gap; more are dropped and come again. */
    static constexpr std::size_t max_held = 256;

    /** An incarnation of zero in `expected` stands for "not known". */
    explicit part_sequencer(part_source expected) : source_(std::move(expected)) {}

    /** Takes a part and returns all that are now due, in order. */
    std::vector<part> accept(const part_source& from, numbered_part arrived);

    /** All parts below this number have come out. */
    std::uint64_t next_sequence() const noexcept { return next_; }

    /** Whether a part is missing before one that is here. */
    bool gap() const noexcept { return !held_.empty(); }

    /** The agent life that the parts come from. */
    const part_source& source() const noexcept { return source_; }

private:
    bool is_expected(const part_source& from);

    part_source source_;
    std::uint64_t next_ = 0;
    std::map<std::uint64_t, part> held_;
};

} // namespace camphorgrade::delivery
