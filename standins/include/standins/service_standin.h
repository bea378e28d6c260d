#pragma once

#include <standins/standin_host.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace camphorgrade::standins {

/** What goes wrong at a service_standin; changed while it runs by POST /control/faults. */
struct service_faults {
    duration delay{0};                 /**< Between the run of a booking and its answer. */
    std::size_t lose_next_answers = 0; /**< So many bookings run and get no answer. */
    std::size_t crash_after_runs = 0;  /**< Ends the process in that run; 0 for never. */
    std::function<void()> crash;       /**< How the process ends; by default, at once. */
};

/**
 * A plain booking service: `POST /bookings` {"id"} runs a booking each time, `GET /bookings/ID`
 * reads it, `GET /control/counts` says how often each id ran. Thread safe but for start and
 * destruction.
 */
class service_standin final : private standin_logic {
public:
    explicit service_standin(service_faults faults = {});

    /** Listens; false when that is not possible. */
    bool start(const std::string& address, std::uint16_t port) {
        return host_.start(address, port);
    }

    void stop() { host_.stop(); }
    std::uint16_t port() const { return host_.port(); }

private:
    void handle(standin_call call) override;
    void on_caller_lost(exchange_id /*id*/) override {}

    void book(standin_call call);
    void read(const standin_call& call) const;
    void set_faults(const standin_call& call);
    void answer_counts(const standin_call& call) const;

    service_faults faults_;
    std::map<std::string, std::size_t> runs_;
    std::size_t total_runs_ = 0;
    std::size_t authorization_headers_ = 0;
    standin_host host_;
};

} // namespace camphorgrade::standins
