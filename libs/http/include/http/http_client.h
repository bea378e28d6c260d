#pragma once

#include <http/http_call.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace camphorgrade {

/** Ends one http_client::call() from another thread. Thread safe; serves one call. */
class call_cancellation {
public:
    /** The call ends soon with a call_failure, or at once when it begins later. Idempotent. */
    void cancel();

private:
    friend class http_client;

    void attach(std::function<void()> hook);
    void detach();

    std::mutex mutex_;
    bool is_cancelled_ = false;
    std::function<void()> hook_;
};

/** Trust of a client. */
struct http_client_settings {
    std::string trusted_certificates_path; /**< PEM file; needed for endpoints that use TLS. */

    friend bool operator==(const http_client_settings&, const http_client_settings&) = default;
};

/**
 * One blocking HTTP/1.1 call at a time on the calling thread; a connection for each call.
 *
 * A failure is `not_sent` only while not a byte of the request was handed to the network. A
 * response counts as whole only when its length or its last chunk proves it; one that merely ends
 * with the connection is `broken`. Thread safe: calls may run at once.
 *
 * @code
 * camphorgrade::http_client client;
 * client.call({"127.0.0.1", 8080}, {"GET", "/healthz", "", {}, ""}, {}, sink);
 * @endcode
 */
class http_client {
public:
    explicit http_client(const http_client_settings& settings = {});
    ~http_client();

    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /** Runs one call to its end. `sink` is called before this returns, never after. */
    void call(const http_endpoint& endpoint, const http_request& request, const call_limits& limits,
              call_sink& sink, call_cancellation* cancellation = nullptr) const;

private:
    class trust;
    std::unique_ptr<trust> trust_;
};

} // namespace camphorgrade
