#pragma once

#include "liveness_checker.h"

#include <telemetry/event_log.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace camphorgrade::entry {

/** How the body of a response that was read from a backend server ended. */
enum class body_end : std::uint8_t {
    complete_length,     /**< All bytes of its declared length arrived. */
    last_chunk,          /**< Its last chunk arrived. */
    end_with_connection, /**< It has neither; the backend server closed the connection. */
    closed,              /**< The backend server closed the connection too early. */
    reset,               /**< The connection was reset, or failed in another way. */
    timed_out,           /**< It wasn't complete in time. */
    malformed,           /**< Bytes that are no valid response, or above a limit. */
    cancelled            /**< The gateway stopped reading. */
};

/** Name of a body_end in logs and metrics. */
std::string_view to_string(body_end end) noexcept;

/** What one attempt contributed to an event stream, or to a response without length and chunks. A
    value type. */
struct stream_attempt_report {
    std::optional<std::uint64_t> resumed_after; /**< Empty if it started the stream anew. */
    std::optional<std::uint64_t> last_event_id; /**< Of the events forwarded so far. */
    std::uint64_t forwarded_events = 0;         /**< By this attempt. */
    std::size_t incomplete_bytes = 0;           /**< Of an event that was incomplete at the end. */
    body_end end = body_end::cancelled;
    bool is_stream = true;             /**< False for any other response. */
    bool ends_with_connection = false; /**< The body has neither a length nor chunks. */
    bool is_reused_connection = false; /**< The connection had carried earlier requests. */
    /** State of the server process after the end of a body that ended with its connection; empty if
        it wasn't asked for. */
    std::optional<process_state> state_after_end{};

    /** Whether the body was complete as it was delimited, and ended with a complete event. A body
        that ends with its connection is complete if its server process lived on. */
    bool is_whole() const noexcept;

    friend bool operator==(const stream_attempt_report&, const stream_attempt_report&) = default;
};

/** Adds the fields of `report` to a log line; -1 stands for an id that there isn't. */
void add_fields(log_line& line, const stream_attempt_report& report);

} // namespace camphorgrade::entry
