#pragma once

#include <standins/standin_host.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace camphorgrade::standins {

/**
 * Faults that a service_standin simulates. POST /control/faults changes all but `crash` while it
 * runs.
 */
struct service_faults {
    duration delay{0};                   /**< From the run of a booking to its response. */
    std::size_t drop_next_responses = 0; /**< Next bookings that run without a response. */
    std::size_t crash_after_runs = 0;    /**< Number of the run that crashes, from 1; 0 for none. */
    std::function<void()> crash;         /**< Simulates a crash; by default, calls _exit(). */
};

/**
 * A simulated booking service that is not idempotent: each `POST /bookings` {"id"} runs the booking
 * again. `GET /bookings/ID` reads a booking, and `GET /control/counts` returns the number of runs
 * of each id. Thread safe, except for start() and destruction.
 */
class service_standin final : private standin_logic {
public:
    explicit service_standin(service_faults faults = {});

    /** Starts to listen; returns false if the address cannot be bound. */
    bool start(const std::string& address, std::uint16_t port) {
        return host_.start(address, port);
    }

    void stop() { host_.stop(); }
    std::uint16_t port() const { return host_.port(); }

private:
    void handle(standin_call call) override;
    void on_caller_lost(exchange_id /*id*/) override {}

    void create_booking(standin_call call);
    void read_booking(const standin_call& call) const;
    void set_faults(const standin_call& call);
    void respond_counts(const standin_call& call) const;

    service_faults faults_;
    std::map<std::string, std::size_t> runs_;
    std::size_t total_runs_ = 0;
    std::size_t authorization_headers_ = 0;
    standin_host host_;
};

} // namespace camphorgrade::standins
