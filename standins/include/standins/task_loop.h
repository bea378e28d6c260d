#pragma once

#include <kernel/clock.h>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace camphorgrade::standins {

/** Runs tasks one after another on its own thread, in order of their due times. Thread safe. */
class task_loop {
public:
    using task = std::function<void()>;

    task_loop();

    /** Calls stop(). */
    ~task_loop();

    task_loop(const task_loop&) = delete;
    task_loop& operator=(const task_loop&) = delete;

    /**
     * Runs `work` after `delay`; tasks with the same due time run in the order posted. Does nothing
     * after stop().
     */
    void post(task work, duration delay = duration{0});

    /**
     * Waits for the running task and discards the pending ones. Idempotent. Must not be called from
     * a task.
     */
    void stop();

    /** Current time of the loop's clock. */
    time_point now() const { return clock_.now(); }

private:
    void run();

    const monotonic_clock clock_;
    std::mutex mutex_;
    std::condition_variable tasks_changed_;
    std::map<std::pair<time_point, std::uint64_t>, task> tasks_; /**< By due time and number. */
    std::uint64_t last_task_number_ = 0;
    bool is_stopped_ = false;
    std::thread thread_;
};

} // namespace camphorgrade::standins
