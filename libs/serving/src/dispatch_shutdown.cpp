#include <serving/dispatcher.h>

#include <algorithm>

namespace camphorgrade::serving {

void dispatcher::begin_shutdown(time_point answer_by) {
    answer_by_ = answer_by;
    for (auto& item : requests_) {
        item.second.deadline = std::min(item.second.deadline, answer_by);
    }
}

bool dispatcher::is_limited_by_shutdown(const request& entry) const {
    return answer_by_ && entry.deadline == *answer_by_;
}

void dispatcher::end_for_shutdown(request_handle id, request& entry) {
    const bool was_sent = entry.state == phase::sent;
    // Another gateway can serve the request at once.
    end(id, entry, was_sent ? end_reason::timed_out_sent : end_reason::shutting_down,
        settings_.min_retry_after);
}

} // namespace camphorgrade::serving
