#include "stream_attempt_report.h"

namespace camphorgrade::entry {

namespace {

std::int64_t id_or_none(const std::optional<std::uint64_t>& id) {
    constexpr std::int64_t none = -1;
    return id ? static_cast<std::int64_t>(*id) : none;
}

} // namespace

std::string_view to_string(body_end end) noexcept {
    switch (end) {
    case body_end::complete_length:
        return "length";
    case body_end::last_chunk:
        return "last_chunk";
    case body_end::end_with_connection:
        return "connection_end";
    case body_end::closed:
        return "closed";
    case body_end::reset:
        return "reset";
    case body_end::timed_out:
        return "timed_out";
    case body_end::malformed:
        return "malformed";
    case body_end::cancelled:
        return "cancelled";
    }
    return "unknown";
}

bool stream_attempt_report::is_whole() const noexcept {
    const bool is_complete =
        end == body_end::complete_length || end == body_end::last_chunk ||
        (end == body_end::end_with_connection && state_after_end == process_state::alive);
    return is_complete && incomplete_bytes == 0;
}

void add_fields(log_line& line, const stream_attempt_report& report) {
    line.text("end", to_string(report.end))
        .number("resumed_after", id_or_none(report.resumed_after))
        .number("events", static_cast<std::int64_t>(report.forwarded_events))
        .number("last_event_id", id_or_none(report.last_event_id))
        .number("incomplete_bytes", static_cast<std::int64_t>(report.incomplete_bytes))
        .flag("ends_with_connection", report.ends_with_connection)
        .flag("reused_connection", report.is_reused_connection);
    if (report.state_after_end) {
        line.text("process", to_string(*report.state_after_end));
    }
}

} // namespace camphorgrade::entry
