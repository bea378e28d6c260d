#pragma once

#include <edge/upstream_pool.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::edge {

/** What the connections of one pool share: settings, and those that are idle. */
class upstream_pool::state {
public:
    state(boost::asio::io_context& event_loop, const clock& now, upstream_settings bounds)
        : loop(event_loop), time(now), settings(bounds) {}

    boost::asio::io_context& loop;
    const clock& time;
    upstream_settings settings;
    std::map<upstream_address, std::vector<std::shared_ptr<connection>>> idle;
    bool is_closing = false;
};

/** One connection to a server; serves one call at a time. */
class upstream_pool::connection final : public std::enable_shared_from_this<connection> {
public:
    connection(std::shared_ptr<state> shared, upstream_address to);

    /** Begins a call, connecting first where needed; returns its number on this connection.
     * Precondition: no call is under way. */
    std::uint64_t start(const upstream_request& request, upstream_sink& sink);

    /** Ends this call without telling its sink; nothing happens if it has ended. */
    void cancel(std::uint64_t number);

    /** Breaks this call if it is still under way after `time`. */
    void set_timeout(std::uint64_t number, duration time);

    /** Whether an idle connection may take another call: not too old, and nothing to read on it. */
    bool is_usable(time_point now);

    void close();

private:
    using parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    static constexpr std::size_t body_buffer_bytes = 8'192;

    void connect();
    void on_connected(const boost::system::error_code& error);
    void send_request();
    void read_head();
    void on_head(const boost::system::error_code& error);
    void skip_head();
    void begin_body();
    void read_body();
    void on_body(const boost::system::error_code& error);
    void complete();
    void fail(upstream_failure why);
    bool belongs_to_call() const;
    duration idle_time() const;
    void park(duration idle_for);
    void watch_idle();
    void leave_pool();

    std::shared_ptr<state> shared_;
    upstream_address to_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer input_;
    std::optional<parser> parser_;
    std::array<char, body_buffer_bytes> body_{};
    std::string output_;
    std::string correlation_header_;
    std::string correlation_id_;
    upstream_sink* sink_ = nullptr; /**< Null while no call is under way. */
    std::uint64_t call_number_ = 0;
    bool is_connected_ = false;
    bool is_written_ = false;
    bool is_head_request_ = false;
    bool has_stray_answer_ = false;
    std::uint32_t skipped_answers_ = 0; /**< In this call. */
    std::size_t skipped_bytes_ = 0;
    bool is_closed_ = false;
    time_point usable_until_;
};

} // namespace camphorgrade::edge
