#pragma once

#include <http/http_call.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ssl/context.hpp>

#include <chrono>
#include <functional>
#include <memory>

namespace camphorgrade {

/** One call on an io_context, from connect to its last piece. */
class async_call {
public:
    using listener = std::function<void(call_progress)>;

    virtual ~async_call() = default;

    /** Begins. The listener is called on the context's threads, one piece at a time. */
    virtual void start() = 0;

    /** Ends the call soon, unless it is over. Thread safe. */
    virtual void cancel() = 0;
};

/** What a call needs to begin. */
struct async_call_plan {
    http_endpoint endpoint;
    http_request request;
    call_limits limits;
    std::chrono::steady_clock::time_point deadline;
};

/** Makes a call; `tls` is used for endpoints that ask for it, and must outlive the call. */
std::shared_ptr<async_call> make_async_call(boost::asio::io_context& context,
                                            boost::asio::ssl::context& tls, async_call_plan plan,
                                            async_call::listener listener);

/** TLS settings that trust the certificates in `path`; without a path, no peer is trusted. */
boost::asio::ssl::context make_client_tls(const std::string& path);

} // namespace camphorgrade
