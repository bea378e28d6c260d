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

/** A whole answer. */
struct buffered_response {
    http_head head;
    std::string body;

    friend bool operator==(const buffered_response&, const buffered_response&) = default;
};

/** How a buffered call ended without an answer. */
enum class call_outcome : std::uint8_t { answered, not_connected, broken, timed_out };

/**
 * Calls whose answers are small and wanted whole, each with a timeout. An answer that grows too
 * large is broken off. Not thread safe.
 * When it is destroyed, calls under way are given up and their callbacks never run.
 */
class buffered_calls {
public:
    /** Above what a store's page of keys, an operators' text or a peer's page holds. */
    static constexpr std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;

    using completion_handler = std::function<void(call_outcome, const buffered_response&)>;

    buffered_calls(boost::asio::io_context& loop, upstream_pool& pool);
    ~buffered_calls();

    buffered_calls(const buffered_calls&) = delete;
    buffered_calls& operator=(const buffered_calls&) = delete;

    /** `callback` runs once, from the event loop, never from within this call. */
    void start(const upstream_address& to, const upstream_request& request, duration timeout,
               completion_handler callback);

private:
    class call;

    boost::asio::io_context& loop_;
    upstream_pool& pool_;
    std::map<std::uint64_t, std::unique_ptr<call>> open_;
    std::uint64_t next_ = 1;
};

} // namespace camphorgrade::edge
