#pragma once

#include <edge/upstream_pool.h>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace camphorgrade::edge {

/** A complete response. */
struct buffered_response {
    http_head head;
    std::string body;

    friend bool operator==(const buffered_response&, const buffered_response&) = default;
};

/** How a buffered call ended. */
enum class call_outcome : std::uint8_t {
    answered,      /**< A complete response arrived, with any status. */
    not_connected, /**< No connection was established, so nothing was sent. */
    broken,        /**< The response is incomplete or too large; the request may have been sent. */
    timed_out      /**< No complete response arrived in time; the request may have been sent. */
};

/**
 * HTTP calls whose responses are small and delivered as a whole, each with a timeout.
 *
 * A call whose response body exceeds `max_body_bytes`, or is among the largest when the budget of
 * the pool is exceeded, ends as `broken`. Destroying this object cancels all open calls; their
 * callbacks don't run. Not thread safe.
 */
class buffered_calls {
public:
    /** Exceeds the size of a page of store keys, of a configuration text and of a peer's page. */
    static constexpr std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;

    /** Receives the outcome and, if the outcome is `answered`, the response. */
    using completion_handler = std::function<void(call_outcome, const buffered_response&)>;

    buffered_calls(boost::asio::io_context& loop, upstream_pool& pool);
    ~buffered_calls();

    buffered_calls(const buffered_calls&) = delete;
    buffered_calls& operator=(const buffered_calls&) = delete;

    /**
     * Starts a call that ends after `timeout` at the latest. `callback` runs once, from the event
     * loop, never from within this function.
     */
    void start(const upstream_address& to, const upstream_request& request, duration timeout,
               completion_handler callback);

private:
    class call;

    boost::asio::io_context& loop_;
    upstream_pool& pool_;
    std::map<std::uint64_t, std::unique_ptr<call>> open_calls_;
    std::uint64_t next_id_ = 1;
};

} // namespace camphorgrade::edge
