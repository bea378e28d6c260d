#pragma once

#include <edge/caller_server.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace camphorgrade::edge {

/** What the connections of one server share. */
class caller_server::state {
public:
    state(boost::asio::io_context& loop, const clock& now, caller_handler& to)
        : acceptor(loop), time(now), handler(to) {}

    boost::asio::ip::tcp::acceptor acceptor;
    const clock& time;
    caller_handler& handler;
    caller_limits limits;
    bool is_draining = false;
    std::size_t open_exchanges = 0;
    std::set<connection*> connections;
};

/** One connection of a caller: reads a request, waits for its answer, reads the next. */
class caller_server::connection final : public std::enable_shared_from_this<connection> {
public:
    connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<state> shared);
    ~connection();

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void start();
    void close_if_idle();

private:
    class exchange;
    friend class exchange;
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read_request();
    void on_first_bytes(const boost::system::error_code& error);
    void on_headers(const boost::system::error_code& error);
    void on_whole(const boost::system::error_code& error);
    void hand_on();
    void refuse(int status);
    void refuse_for(const boost::system::error_code& error);
    void watch_for_close();
    void on_readable(const boost::system::error_code& error);
    void caller_is_gone();

    void send(std::string_view bytes);
    void write_next();
    void on_written(const boost::system::error_code& error);
    void answer_complete();
    void linger();
    void drain_input();
    void close();
    void set_timer(duration after, void (connection::*expired)());
    void on_idle_expired();
    void on_header_expired();
    std::string head_text(const http_head& head, std::string_view framing);

    std::shared_ptr<state> shared_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    boost::beast::flat_buffer input_;
    std::optional<parser> parser_;
    std::weak_ptr<exchange> current_;
    std::string queued_;
    std::string writing_;
    bool is_writing_ = false;
    bool is_idle_ = true;
    bool keep_alive_ = true;
    bool has_chunks_ = true; /**< False for a caller that speaks HTTP/1.0. */
    bool answer_done_ = false;
    bool is_closed_ = false;
    std::string discarded_;
};

/** One request on a connection. */
class caller_server::connection::exchange final : public caller_exchange {
public:
    exchange(std::shared_ptr<connection> on, caller_request request);
    ~exchange() override;

    const caller_request& request() const override { return request_; }
    void on_disconnect(std::function<void()> callback) override { gone_ = std::move(callback); }
    void answer(const http_head& head, std::string_view body) override;
    void begin(const http_head& head, std::optional<std::uint64_t> length) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;

    /** The caller closed its connection. */
    void caller_left();

private:
    std::shared_ptr<connection> release();

    std::shared_ptr<connection> on_;
    caller_request request_;
    std::function<void()> gone_;
    std::optional<std::uint64_t> left_;
    bool is_chunked_ = false;
};

} // namespace camphorgrade::edge
