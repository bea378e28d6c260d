#pragma once

#include <placement/agent_status.h>

#include <kernel/ids.h>
#include <kernel/service.h>

#include <cstdint>
#include <string_view>
#include <vector>

namespace camphorgrade::placement {

/** Where a reporter reads the agent's state. */
class status_source {
public:
    status_source() = default;
    status_source(const status_source&) = delete;
    status_source& operator=(const status_source&) = delete;
    status_source(status_source&&) = delete;
    status_source& operator=(status_source&&) = delete;
    virtual ~status_source() = default;

    virtual agent_status status(time_point now) const = 0;
};

struct reporter_settings {
    duration period{1000};                    /**< Between reports when nothing changes. */
    duration shortest_interval{100};          /**< Between reports when much changes. */
    std::uint64_t bytes_per_s = 3000;         /**< Sent to all gateways; stretches the intervals. */
    std::uint64_t gateway_bytes_per_s = 4000; /**< Received by a gateway from all agents. */
    std::uint32_t full_every = 5; /**< Reports between two that repeat unchanged slots. */
};

/**
 * The service "reporter" of an agent: tells the gateways its state, periodically and on change,
 * within a budget of bytes. Not thread safe.
 *
 * @code
 * auto& reports = kernel.find<reporter>("reporter");
 * reports.set_source(agent);         // in attach()
 * reports.set_gateways(gateways);    // whenever membership changes
 * reports.changed(now);              // after slots, queue or running requests changed
 * @endcode
 */
class reporter final : public service {
public:
    static constexpr std::string_view service_name = "reporter";

    explicit reporter(reporter_settings settings);

    std::string_view name() const noexcept override { return service_name; }

    /** Precondition: `source` outlives the reporter. */
    void set_source(const status_source& source) noexcept { source_ = &source; }

    void set_gateways(std::vector<node_id> gateways) { gateways_ = std::move(gateways); }

    /** How many agents report to each gateway. Precondition: at least one. */
    void set_agents(std::size_t agents);

    /** Reports soon; at once when the agent has begun to leave. */
    void changed(step& now);

    /** The time until the next report that what was sent last leaves in the budget. */
    duration interval() const { return interval_for(last_size_); }

    void start(step& now) override;
    void on_timer(token id, step& now) override;

private:
    duration interval_for(std::uint64_t report_size) const;
    void report(step& now);
    void arm(time_point at, step& now);

    reporter_settings settings_;
    const status_source* source_ = nullptr;
    std::vector<node_id> gateways_;
    std::size_t agents_ = 1;
    std::vector<slot_status> told_slots_;
    std::uint32_t since_full_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t last_size_ = 0;
    std::uint64_t largest_size_ = 0;
    bool told_leaving_ = false;
    time_point last_;
    time_point armed_for_;
    token armed_ = 0;
};

} // namespace camphorgrade::placement
