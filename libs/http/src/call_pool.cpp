#include "async_call.h"

#include <http/call_pool.h>
#include <kernel/check.h>

#include <boost/asio/executor_work_guard.hpp>

#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace camphorgrade {

namespace asio = boost::asio;

class call_pool::implementation {
public:
    implementation(const call_pool_settings& settings, call_observer& observer)
        : settings_(settings), observer_(observer),
          tls_(make_client_tls(settings.client.trusted_certificates_path)),
          work_(asio::make_work_guard(context_)) {
        for (std::size_t i = 0; i < settings.threads; ++i) {
            threads_.emplace_back([this] { context_.run(); });
        }
    }

    bool submit(call_id id, const http_endpoint& endpoint, const http_request& request,
                const call_limits& limits) {
        const auto deadline = std::chrono::steady_clock::now() + limits.total_timeout;
        const std::lock_guard lock(mutex_);
        const bool must_wait = running_ >= settings_.max_running;
        if (is_stopped_ || (must_wait && waiting_.size() >= settings_.max_queued)) {
            return false;
        }
        const auto call = make_async_call(
            context_, tls_, {endpoint, request, limits, deadline},
            [this, id](call_progress progress) { on_progress(id, std::move(progress)); });
        const bool is_new = calls_.emplace(id, call).second;
        CAMPHOR_PRECONDITION(is_new);
        if (must_wait) {
            waiting_.push_back(call);
        } else {
            ++running_;
            call->start();
        }
        return true;
    }

    void cancel(call_id id) {
        const std::lock_guard lock(mutex_);
        const auto found = calls_.find(id);
        if (found == calls_.end()) {
            return;
        }
        found->second->cancel();
        start_now(found->second);
    }

    std::size_t open_calls() const {
        const std::lock_guard lock(mutex_);
        return calls_.size();
    }

    void stop() {
        {
            const std::lock_guard lock(mutex_);
            is_stopped_ = true;
            for (const auto& [id, call] : calls_) {
                call->cancel();
                start_now(call);
            }
            work_.reset();
        }
        for (std::thread& thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

private:
    /** Lets a waiting call run at once: one that was cancelled ends without a connection. */
    void start_now(const std::shared_ptr<async_call>& call) {
        if (std::erase(waiting_, call) > 0) {
            ++running_;
            call->start();
        }
    }

    void on_progress(call_id id, call_progress progress) {
        const bool is_last = std::holds_alternative<http_end>(progress) ||
                             std::holds_alternative<call_failure>(progress);
        if (is_last) {
            release(id);
        }
        observer_.on_call_progress(id, std::move(progress));
    }

    void release(call_id id) {
        const std::lock_guard lock(mutex_);
        calls_.erase(id);
        --running_;
        if (!waiting_.empty() && running_ < settings_.max_running) {
            const auto next = std::move(waiting_.front());
            waiting_.pop_front();
            ++running_;
            next->start();
        }
    }

    const call_pool_settings settings_;
    call_observer& observer_;
    asio::io_context context_;
    asio::ssl::context tls_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    std::vector<std::thread> threads_;

    mutable std::mutex mutex_;
    std::map<call_id, std::shared_ptr<async_call>> calls_;
    std::deque<std::shared_ptr<async_call>> waiting_;
    std::size_t running_ = 0;
    bool is_stopped_ = false;
};

call_pool::call_pool(const call_pool_settings& settings, call_observer& observer)
    : implementation_(std::make_unique<implementation>(settings, observer)) {
    CAMPHOR_PRECONDITION(settings.threads > 0 && settings.max_running > 0);
}

call_pool::~call_pool() {
    stop();
}

bool call_pool::submit(call_id id, const http_endpoint& endpoint, const http_request& request,
                       const call_limits& limits) {
    return implementation_->submit(id, endpoint, request, limits);
}

void call_pool::cancel(call_id id) {
    implementation_->cancel(id);
}

std::size_t call_pool::open_calls() const {
    return implementation_->open_calls();
}

void call_pool::stop() {
    implementation_->stop();
}

} // namespace camphorgrade
