#pragma once

#include <kernel/clock.h>
#include <kernel/micro_kernel.h>
#include <node/inbox.h>
#include <node/message_port.h>
#include <node/port.h>

#include <atomic>
#include <cstdint>
#include <queue>
#include <tuple>
#include <vector>

namespace camphorgrade {

/**
 * Drives a kernel on real sockets: turns what arrives into events and hands effects to ports.
 * run() is for one thread; request_shutdown() is safe in a signal handler.
 */
class event_loop {
public:
    /** All references outlive the loop. */
    event_loop(micro_kernel& kernel, inbox& events, message_port& messages, const clock& time);

    /** Adds a port. Precondition: run() was not called; the port outlives the loop. */
    void add(port& added) { ports_.push_back(&added); }

    /** Starts the kernel and handles events until a service asks the process to exit. */
    void run();

    /** Makes run() tell every service to shut down. */
    void request_shutdown() noexcept;

private:
    struct timer {
        time_point at;
        std::uint64_t sequence = 0;
        timer_fired fired;

        bool operator<(const timer& other) const {
            return std::tie(other.at, other.sequence) < std::tie(at, sequence);
        }
    };

    void wait();
    void handle(const event& happened);
    void carry_out(const std::vector<effect>& effects);
    void fire_due_timers();

    micro_kernel& kernel_;
    inbox& inbox_;
    message_port& messages_;
    const clock& clock_;
    std::vector<port*> ports_;
    std::priority_queue<timer> timers_;
    std::uint64_t sequence_ = 0;
    std::atomic<bool> shutdown_{false};
    bool exit_ = false;
};

} // namespace camphorgrade
