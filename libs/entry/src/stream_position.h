#pragma once

#include "sse_splitter.h"

#include <cstdint>
#include <optional>

namespace camphorgrade::entry {

/**
 * Which events of a stream the caller has, so that another server can continue after them. Not
 * thread safe.
 */
class stream_position {
public:
    /** Records an event that is forwarded to the caller. */
    void on_event(const sse_event& event) {
        if (event.is_comment) {
            return;
        }
        is_known_ = is_known_ && event.id && (!last_event_id_ || *event.id > *last_event_id_);
        last_event_id_ = event.id;
    }

    /** Whether the last id tells which events the caller has: all had an id, in rising order. */
    bool is_known() const noexcept { return is_known_; }

    /** Id of the last event; empty if there was none, or the last had no id. */
    std::optional<std::uint64_t> last_event_id() const noexcept { return last_event_id_; }

private:
    std::optional<std::uint64_t> last_event_id_;
    bool is_known_ = true;
};

} // namespace camphorgrade::entry
