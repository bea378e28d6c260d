#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace camphorgrade {

/** A fixed number of threads that run blocking tasks from a bounded queue. Thread safe. */
class worker_pool {
public:
    /** Precondition: `threads` > 0 and `queue_limit` > 0. */
    worker_pool(std::size_t threads, std::size_t queue_limit);
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    /** Ends running tasks' threads after their task; queued tasks are dropped. */
    ~worker_pool();

    /** Queues a task; false, without running it, when the queue is full. */
    bool submit(std::function<void()> task);

private:
    void work();

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> queue_;
    std::size_t queue_limit_;
    bool ending_ = false;
    std::vector<std::thread> threads_;
};

} // namespace camphorgrade
