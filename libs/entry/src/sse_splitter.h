#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace camphorgrade::entry {

/**
 * Splits a stream of server-sent events at the ends of events and records the id of the last one.
 * Not thread safe.
 */
class sse_splitter {
public:
    /**
     * Appends received bytes. Removes and returns everything up to the end of the last complete
     * event; empty while no event is complete.
     */
    std::string append(std::string_view bytes);

    /** Bytes received after the last complete event. */
    const std::string& incomplete_event() const noexcept { return pending_; }

    /** Discards the incomplete event; another server resumes the stream after the complete ones. */
    void discard_incomplete_event() { pending_.clear(); }

    /** Id of the last complete event that had a numeric id. */
    std::optional<std::uint64_t> last_event_id() const noexcept { return last_event_id_; }

    /** Number of complete events. */
    std::uint64_t event_count() const noexcept { return event_count_; }

private:
    void record_event_ids(std::string_view events);

    std::string pending_;
    std::optional<std::uint64_t> last_event_id_;
    std::uint64_t event_count_ = 0;
};

} // namespace camphorgrade::entry
