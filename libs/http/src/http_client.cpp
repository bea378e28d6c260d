#include "async_call.h"

#include <http/http_client.h>

#include <utility>

namespace camphorgrade {

class http_client::trust {
public:
    explicit trust(const http_client_settings& settings)
        : tls_(make_client_tls(settings.trusted_certificates_path)) {}

    boost::asio::ssl::context& tls() { return tls_; }

private:
    boost::asio::ssl::context tls_;
};

void call_cancellation::cancel() {
    const std::lock_guard lock(mutex_);
    is_cancelled_ = true;
    if (hook_) {
        hook_();
    }
}

void call_cancellation::attach(std::function<void()> hook) {
    const std::lock_guard lock(mutex_);
    hook_ = std::move(hook);
    if (is_cancelled_) {
        hook_();
    }
}

void call_cancellation::detach() {
    const std::lock_guard lock(mutex_);
    hook_ = nullptr;
}

http_client::http_client(const http_client_settings& settings)
    : trust_(std::make_unique<trust>(settings)) {}

http_client::~http_client() = default;

void http_client::call(const http_endpoint& endpoint, const http_request& request,
                       const call_limits& limits, call_sink& sink,
                       call_cancellation* cancellation) const {
    boost::asio::io_context context(1);
    const auto deadline = std::chrono::steady_clock::now() + limits.total_timeout;
    const auto call =
        make_async_call(context, trust_->tls(), {endpoint, request, limits, deadline},
                        [&](call_progress progress) { sink.on_progress(std::move(progress)); });
    if (cancellation != nullptr) {
        cancellation->attach([call] { call->cancel(); });
    }
    call->start();
    context.run();
    if (cancellation != nullptr) {
        cancellation->detach();
    }
}

} // namespace camphorgrade
