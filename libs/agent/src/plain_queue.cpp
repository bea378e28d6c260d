#include <agent/plain_queue.h>

#include <kernel/check.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::agent {

namespace {

constexpr duration retry_after_full{500};

} // namespace

plain_queue::plain_queue(std::vector<std::string> services, std::size_t capacity,
                         work_listener& listener)
    : services_(std::move(services)), capacity_(capacity), listener_(listener) {
    CAMPHOR_PRECONDITION(capacity > 0);
}

void plain_queue::admit(const placement::queued_request& request, step& now) {
    if (waiting_.size() >= capacity_) {
        listener_.on_refused(request.id, delivery::refusal_type::queue_full, retry_after_full, now);
        return;
    }
    waiting_.push_back(request);
    pump(now);
}

bool plain_queue::cancel(std::uint64_t id) {
    const auto found = std::find_if(waiting_.begin(), waiting_.end(),
                                    [&](const auto& each) { return each.id == id; });
    if (found == waiting_.end()) {
        return false;
    }
    waiting_.erase(found);
    return true;
}

void plain_queue::finished(std::uint64_t /*id*/, std::uint64_t /*generated_tokens*/, step& now) {
    pump(now);
}

void plain_queue::pump(step& now) {
    while (!waiting_.empty()) {
        const auto next = waiting_.front();
        if (next.deadline <= now.time()) {
            waiting_.pop_front();
            listener_.on_refused(next.id, delivery::refusal_type::deadline, duration{0}, now);
            continue;
        }
        if (listener_.free_seats() == 0) {
            return;
        }
        waiting_.pop_front();
        listener_.on_start(next.id, now);
    }
}

void plain_queue::on_missing_adapter(std::uint64_t /*id*/, step& /*now*/) {}

placement::agent_status plain_queue::status(time_point /*now*/) const {
    placement::agent_status status;
    status.services = services_;
    for (const auto& each : waiting_) {
        status.short_tokens += each.cost();
    }
    return status;
}

} // namespace camphorgrade::agent
