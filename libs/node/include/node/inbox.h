#pragma once

#include <kernel/event.h>

#include <mutex>
#include <vector>

namespace camphorgrade {

/**
 * Events on their way from the edge's threads to the event loop. Thread safe.
 *
 * @code
 * inbox events;
 * events.post(timer_fired{"limits", 1});       // any thread
 * for (event& each : events.take()) { ... }    // the loop, when poll_fd() is readable
 * @endcode
 */
class inbox {
public:
    inbox();
    inbox(const inbox&) = delete;
    inbox& operator=(const inbox&) = delete;
    ~inbox();

    /** Adds an event and wakes the loop. */
    void post(event happened);

    /** Takes all events, oldest first, and clears the wake-up. */
    std::vector<event> take();

    /** A file descriptor that is readable while events wait. */
    int poll_fd() const noexcept { return wake_fd_; }

    /** Wakes the loop without an event. Safe in a signal handler. */
    void wake() noexcept;

private:
    std::mutex mutex_;
    std::vector<event> waiting_;
    int wake_fd_;
};

} // namespace camphorgrade
