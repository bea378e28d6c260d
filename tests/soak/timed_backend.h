#pragma once

#include <edge/caller_server.h>
#include <kernel/clock.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace camphorgrade::soak {

/** Header with the time that a timed_backend works on a request, in milliseconds. */
inline constexpr const char* work_header = "X-Work-Ms";

/** Body of the response to a request that isn't for a stream. */
std::string timed_body(const std::string& request);

/** One run of a request at a timed_backend. */
struct timed_run {
    time_point began;
    std::optional<time_point> ended; /**< When the response was complete, or the gateway left. */
};

/**
 * A simulated plain backend server that works on each request for the time that the request names
 * in `work_header`. A target below "/stream/" gets an event stream for that time. Not thread safe.
 */
class timed_backend final : public edge::caller_handler {
public:
    timed_backend(boost::asio::io_context& loop, const clock& clock, std::string id,
                  std::string service);

    void listen(const boost::asio::ip::tcp::endpoint& endpoint) { server_.listen(endpoint); }

    /** JSON text of its registration under `address`. */
    std::string registration(const std::string& address) const;

    const std::string& id() const noexcept { return id_; }

    /** The first run of a request; null if it never ran. */
    const timed_run* run_of(const std::string& request) const;

    void on_request(std::shared_ptr<edge::caller_exchange> exchange) override;
    void on_bad_request(int status) override { static_cast<void>(status); }

    /** Request limit that its responses name, in requests per second; empty: none. */
    std::optional<double> request_limit;

private:
    struct work;

    void advance(const std::shared_ptr<work>& current);
    void complete(work& current);
    http_headers headers_of(const work& current) const;

    boost::asio::io_context& loop_;
    const clock& clock_;
    edge::caller_server server_;
    std::string id_;
    std::string service_;
    std::map<std::string, timed_run> runs_;
};

} // namespace camphorgrade::soak
