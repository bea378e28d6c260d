#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::entry {

/** One complete event of a stream of server-sent events. A value type. */
struct sse_event {
    std::string bytes; /**< Unchanged, with the blank line that ends it. */
    /** Its id; empty if it has none that is a decimal number of 64 bits. */
    std::optional<std::uint64_t> id;
    bool is_comment = false; /**< It has only comments, so a caller doesn't see it as an event. */

    friend bool operator==(const sse_event&, const sse_event&) = default;
};

/**
 * Splits the bytes of one stream of server-sent events at the ends of events. Lines may end with LF
 * or CRLF. Not thread safe.
 */
class sse_splitter {
public:
    /** Appends received bytes and returns the events that they complete. */
    std::vector<sse_event> append(std::string_view bytes);

    /** Number of bytes received after the last complete event. */
    std::size_t incomplete_bytes() const noexcept { return pending_.size(); }

private:
    std::string pending_;         /**< Bytes after the last complete event. */
    std::size_t line_begin_ = 0;  /**< In `pending_`, of the line that isn't complete. */
    std::size_t searched_to_ = 0; /**< `pending_` has no line end in [line_begin_, searched_to_). */
};

} // namespace camphorgrade::entry
