#pragma once

#include <agent/work_queue.h>

#include <deque>
#include <string>
#include <vector>

namespace camphorgrade::agent {

/** First come, first served, for backend servers without adapters. Bounded. Not thread safe. */
class plain_queue final : public work_queue {
public:
    /** `services` are what it reports to run. Preconditions: `listener` outlives it; capacity > 0.
     */
    plain_queue(std::vector<std::string> services, std::size_t capacity, work_listener& listener);

    void admit(const placement::queued_request& request, step& now) override;
    bool cancel(std::uint64_t id) override;
    void finished(std::uint64_t id, std::uint64_t generated_tokens, step& now) override;
    void pump(step& now) override;
    void on_missing_adapter(std::uint64_t id, step& now) override;
    bool empty() const override { return waiting_.empty(); }
    placement::agent_status status(time_point now) const override;

private:
    std::vector<std::string> services_;
    std::size_t capacity_;
    work_listener& listener_;
    std::deque<placement::queued_request> waiting_;
};

} // namespace camphorgrade::agent
