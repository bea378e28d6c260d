#include "graceful_shutdown.h"

namespace camphorgrade::entry {

namespace {

// Time for the platform's load balancer to notice the failing readiness checks. Requests that
// arrive after this time are refused, because they might not finish before the process must have
// exited.
constexpr duration load_balancer_delay{2'600};
// Reserved at the end of the grace for the exit itself.
constexpr duration exit_margin{400};
// Time before that in which the last responses are sent and the callers close their connections.
constexpr duration response_margin{300};

} // namespace

graceful_shutdown::graceful_shutdown(duration grace, edge::caller_server& server,
                                     serving::dispatcher& dispatcher)
    : grace_(grace), server_(server), dispatcher_(dispatcher) {}

time_point graceful_shutdown::answer_by() const {
    return began_ + grace_ - exit_margin - response_margin;
}

void graceful_shutdown::begin(time_point now) {
    if (has_begun_) {
        return;
    }
    has_begun_ = true;
    began_ = now;
    server_.begin_drain();
    dispatcher_.begin_shutdown(answer_by());
}

bool graceful_shutdown::refuses_requests(time_point now) const {
    return has_begun_ && (now >= began_ + load_balancer_delay || now >= answer_by());
}

void graceful_shutdown::on_request_ended(serving::end_reason reason, bool has_response_started) {
    if (!has_begun_) {
        return;
    }
    if (has_response_started) {
        ++counts_.aborted;
    } else if (has_not_run(reason)) {
        ++counts_.refused;
    } else {
        ++counts_.timed_out;
    }
}

bool graceful_shutdown::advance(time_point now) {
    if (!has_begun_) {
        return false;
    }
    // Evaluated before the listener closes, so that connections from its queue are served first.
    const bool is_drained =
        refuses_requests(now) && server_.open_exchanges() == 0 && server_.busy_connections() == 0;
    if (refuses_requests(now)) {
        server_.stop_accepting();
    }
    if (now >= answer_by() && !has_rejected_incomplete_) {
        has_rejected_incomplete_ = true;
        server_.reject_incomplete_requests();
    }
    return is_drained || now >= began_ + grace_ - exit_margin;
}

} // namespace camphorgrade::entry
