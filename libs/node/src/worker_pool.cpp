#include <node/worker_pool.h>

#include <kernel/check.h>

#include <utility>

namespace camphorgrade {

worker_pool::worker_pool(std::size_t threads, std::size_t queue_limit) : queue_limit_(queue_limit) {
    CAMPHOR_PRECONDITION(threads > 0);
    CAMPHOR_PRECONDITION(queue_limit > 0);
    for (std::size_t i = 0; i < threads; ++i) {
        threads_.emplace_back([this] { work(); });
    }
}

worker_pool::~worker_pool() {
    {
        const std::lock_guard lock(mutex_);
        ending_ = true;
        queue_.clear();
    }
    changed_.notify_all();
    for (auto& each : threads_) {
        each.join();
    }
}

bool worker_pool::submit(std::function<void()> task) {
    {
        const std::lock_guard lock(mutex_);
        if (ending_ || queue_.size() >= queue_limit_) {
            return false;
        }
        queue_.push_back(std::move(task));
    }
    changed_.notify_one();
    return true;
}

void worker_pool::work() {
    while (true) {
        std::function<void()> task;
        {
            std::unique_lock lock(mutex_);
            changed_.wait(lock, [this] { return ending_ || !queue_.empty(); });
            if (ending_) {
                return;
            }
            task = std::move(queue_.front());
            queue_.pop_front();
        }
        task();
    }
}

} // namespace camphorgrade
