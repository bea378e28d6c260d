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

/** Runs tasks one after another on a thread of its own, in order of their times. Thread safe. */
class task_loop {
public:
    using task = std::function<void()>;

    task_loop();

    /** Stops like stop(). */
    ~task_loop();

    task_loop(const task_loop&) = delete;
    task_loop& operator=(const task_loop&) = delete;

    /** Runs `work` once `delay` has passed; tasks of the same time run in the order posted. */
    void post(task work, duration delay = duration{0});

    /** Waits for the task that runs, and drops the others. Idempotent. */
    void stop();

    /** Current time of the loop's clock. */
    time_point now() const { return clock_.now(); }

private:
    void run();

    const monotonic_clock clock_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<time_point, std::uint64_t>, task> tasks_;
    std::uint64_t last_task_ = 0;
    bool is_stopped_ = false;
    std::thread thread_;
};

} // namespace camphorgrade::standins
