#include "stream_attempt_report.h"

namespace camphorgrade::entry {

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

} // namespace camphorgrade::entry
