#include <standins/task_loop.h>

#include <chrono>

namespace camphorgrade::standins {

task_loop::task_loop() : thread_([this] { run(); }) {}

task_loop::~task_loop() {
    stop();
}

void task_loop::post(task work, duration delay) {
    const std::lock_guard lock(mutex_);
    if (!is_stopped_) {
        tasks_.emplace(std::pair(clock_.now() + delay, ++last_task_number_), std::move(work));
        tasks_changed_.notify_one();
    }
}

void task_loop::stop() {
    {
        const std::lock_guard lock(mutex_);
        is_stopped_ = true;
        tasks_changed_.notify_one();
    }
    if (thread_.joinable()) {
        thread_.join();
    }
    tasks_.clear();
}

void task_loop::run() {
    std::unique_lock lock(mutex_);
    while (!is_stopped_) {
        if (tasks_.empty()) {
            tasks_changed_.wait(lock);
            continue;
        }
        const duration remaining = tasks_.begin()->first.first - clock_.now();
        if (remaining > duration{0}) {
            tasks_changed_.wait_for(lock, remaining);
            continue;
        }
        const task next = std::move(tasks_.extract(tasks_.begin()).mapped());
        lock.unlock();
        next();
        lock.lock();
    }
}

} // namespace camphorgrade::standins
