#pragma once

namespace camphorgrade {

class event_loop;

/**
 * While it lives, SIGTERM and SIGINT ask the loop to shut down gracefully, and SIGPIPE is ignored.
 * At most one at a time in a process.
 */
class shutdown_signal {
public:
    /** The loop outlives it. */
    explicit shutdown_signal(event_loop& loop);
    shutdown_signal(const shutdown_signal&) = delete;
    shutdown_signal& operator=(const shutdown_signal&) = delete;
    ~shutdown_signal();
};

} // namespace camphorgrade
