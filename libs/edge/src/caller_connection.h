#pragma once

#include <edge/caller_server.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace camphorgrade::edge {

/** The state that the connections of one server share. */
class caller_server::state : public std::enable_shared_from_this<state> {
public:
    state(boost::asio::io_context& loop, const clock& clock_in_use, caller_handler& request_handler,
          buffer_budget* buffers)
        : acceptor(loop), accept_timer(loop), time_source(clock_in_use), handler(request_handler),
          budget(buffers) {}

    /** Accepts connections whenever some wait, until the acceptor is closed. */
    void wait_for_connections();
    /** Accepts and serves one connection. `error` is would_block if none waits. */
    void accept_one(boost::system::error_code& error);

    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer accept_timer; /**< Runs after a failed accept. */
    bool can_accept = true;                 /**< Whether the last accept succeeded. */
    const clock& time_source;
    caller_handler& handler;
    buffer_budget* budget; /**< May be null. */
    caller_limits limits;
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
    bool is_draining = false;
    std::size_t open_connections = 0;
    std::size_t open_exchanges = 0;
    /** Connections that wait for the first byte of a request, or for the caller to close them, in
        the order in which they began to. */
    std::map<std::uint64_t, connection*> replaceable;
    std::uint64_t next_replaceable_number = 1;
    std::set<connection*> connections;

private:
    void accept_connections();
    /** Serves an accepted connection, or does without one because of the limit. */
    void admit(const std::shared_ptr<connection>& accepted);
    /** Closes the connection that has been unused for longest; false if none is found. */
    bool close_oldest_unused();
};

/** One connection from a caller; serves its requests one after another. */
class caller_server::connection final : public buffer_holder,
                                        public std::enable_shared_from_this<connection> {
public:
    connection(boost::asio::ip::tcp::socket socket, std::shared_ptr<state> shared);
    ~connection() override;

    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    void start();
    /** As start(), but refuses the first request. */
    void start_refusing();
    /** Whether the connection waits for the first byte of a request. */
    bool is_idle();
    /** Closes the connection if it is idle. */
    void close_if_idle();
    /** Closes the connection if it is idle or only waits for the caller to close it; returns
       whether it did. */
    bool make_room();
    /** Rejects a request that has arrived in part only, and closes the connection afterwards. */
    void reject_incomplete_request();
    /** Refuses a request that has arrived in part only; ends a response that isn't read. A request
        that is being served is left alone. */
    bool release_buffers() override;

private:
    class exchange;
    friend class exchange;
    enum class input_state : std::uint8_t { empty, readable, ended };
    using parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read_request();
    void on_first_bytes(const boost::system::error_code& error);
    void on_headers(const boost::system::error_code& error);
    void read_body();
    void on_body_part(const boost::system::error_code& error);
    void on_request_read(const boost::system::error_code& error);
    void dispatch_request();
    /** Sends an empty response and closes the connection afterwards. */
    void reject(const http_head& head);
    /** Sends an empty response to a request that isn't handled, and closes the connection. */
    void send_rejection(const http_head& head);
    /** Refuses a request because too many connections are open. */
    void refuse();
    /** Others may take the place of this connection from now on. */
    void become_replaceable();
    void end_replaceable();
    /** Rejects a request whose rest hasn't arrived. */
    void reject_partial(const http_head& head);
    void reject_for_error(const boost::system::error_code& error);
    /** Detects that the caller closes the connection while its request is handled. */
    void watch_for_close();
    /** What the socket has to read; `ended` if the caller has closed or reset the connection and
        everything was read. */
    input_state peek_input();
    void on_readable(const boost::system::error_code& error);
    void on_caller_disconnected();

    /** Queues `bytes` and starts to write unless a write is pending. */
    void send(std::string_view bytes);
    /** Whether a byte after the current request has arrived. */
    bool has_unread_input();
    void write_next();
    void on_written(const boost::system::error_code& error);
    void on_response_sent();
    /** Shuts down sending and discards input, so that the caller can read the last response. */
    void linger();
    void discard_input();
    void close();
    /** Closes the connection before the present response is complete, so that the response doesn't
        look complete. */
    void interrupt();
    void set_timer(duration after, void (connection::*expired)());
    void cancel_timer();
    /** Counts what this connection buffers. */
    void count_buffers();
    void on_close_timeout();
    void on_request_timeout();
    /** The head of a response; `framing` holds the header line that delimits its body. */
    std::string head_text(const http_head& head, std::string_view framing);

    std::shared_ptr<state> shared_;
    boost::asio::ip::tcp::socket socket_;
    boost::asio::steady_timer timer_;
    std::uint64_t timer_number_ = 0; /**< Changes when the timer is set or cancelled. */
    boost::beast::flat_buffer input_;
    std::optional<parser> parser_;
    std::weak_ptr<exchange> current_exchange_;
    std::string queued_;  /**< Bytes to write after the pending write. */
    std::string writing_; /**< Bytes of the pending write. */
    bool is_writing_ = false;
    bool is_idle_ = true;     /**< No byte of the next request was received. */
    bool is_reading_ = false; /**< A part of the next request was received. */
    bool keep_alive_ = true;
    bool supports_chunked_ = true;           /**< False for an HTTP/1.0 caller. */
    bool is_response_queued_ = false;        /**< The whole response was passed to send(). */
    bool body_ends_with_connection_ = false; /**< Of the present response. */
    bool is_closed_ = false;
    bool is_refusing_ = false;             /**< Requests are refused. */
    bool is_lingering_ = false;            /**< Waits for the caller to close the connection. */
    std::uint64_t replaceable_number_ = 0; /**< Key in `state::replaceable`; 0 if it isn't there. */
    std::string discard_buffer_;
    /** Of the body of the present request, until the response to it is passed to send(). */
    std::size_t request_bytes_ = 0;
    buffer_share share_;
};

/** One request on a connection, and the response to it. */
class caller_server::connection::exchange final : public caller_exchange {
public:
    exchange(std::shared_ptr<connection> owner, caller_request request);
    ~exchange() override;

    const caller_request& request() const override { return request_; }
    void on_disconnect(std::function<void()> callback) override {
        disconnect_callback_ = std::move(callback);
    }
    void answer(const http_head& head, std::string_view body) override;
    void begin(const http_head& head, std::optional<std::uint64_t> length) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;

    /** Ends the exchange and runs the disconnect callback. */
    void notify_disconnected();

private:
    /** The header line that delimits a body; empty if there is none, or it ends with the
       connection. A response to HEAD has the line that one to GET would have. */
    std::string framing_line(int status, std::optional<std::uint64_t> length) const;
    /** Detaches the exchange from its connection; returns null if that was done before. */
    std::shared_ptr<connection> detach();

    std::shared_ptr<connection> connection_;
    caller_request request_;
    std::function<void()> disconnect_callback_;
    std::optional<std::uint64_t> remaining_length_;
    bool is_chunked_ = false;
    bool has_body_ = true; /**< False for a response to HEAD and for a status without a body. */
};

} // namespace camphorgrade::edge
