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
        tasks_.emplace(std::pair(clock_.now() + delay, ++last_task_), std::move(work));
        changed_.notify_one();
    }
}

void task_loop::stop() {
    {
        const std::lock_guard lock(mutex_);
        is_stopped_ = true;
        changed_.notify_one();
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
            changed_.wait(lock);
            continue;
        }
        const duration left = tasks_.begin()->first.first - clock_.now();
        if (left > duration{0}) {
            changed_.wait_for(lock, left);
            continue;
        }
        const task next = std::move(tasks_.extract(tasks_.begin()).mapped());
        lock.unlock();
        next();
        lock.lock();
    }
}

} // namespace camphorgrade::standins
