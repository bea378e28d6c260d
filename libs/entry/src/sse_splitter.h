#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade::entry {

/**
 * Cuts a stream of server-sent events into whole events and remembers the id of the last one.
 * Not thread safe.
 */
class sse_splitter {
public:
    /** Takes bytes as they arrive; returns those that complete events. */
    std::string append(std::string_view bytes);

    /** What is left of an event that isn't complete. */
    const std::string& incomplete_event() const noexcept { return pending_; }

    /** Drops an incomplete event: the stream goes on elsewhere after the last whole one. */
    void discard_incomplete_event() { pending_.clear(); }

    /** Id of the last whole event that had one. */
    std::optional<std::uint64_t> last_event_id() const noexcept { return last_id_; }

private:
    void read_ids(std::string_view events);

    std::string pending_;
    std::optional<std::uint64_t> last_id_;
};

} // namespace camphorgrade::entry
