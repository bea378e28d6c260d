#include "caller_connection.h"

#include "socket_options.h"

#include <edge/header_rules.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace camphorgrade::edge {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t discard_buffer_bytes = 16'384;
// Limit for the lines between the chunks of a body, and for what is read ahead of a request's end.
constexpr std::size_t max_unparsed_bytes = std::size_t{64} * 1024;
// A buffer of a response that was larger than this is freed when the response has been sent.
constexpr std::size_t max_kept_buffer_bytes = std::size_t{16} * 1024;
// Retry-After of a request that is refused because the process buffers too much or has too many
// connections, in s.
constexpr const char* overload_retry_after = "1";
// How long a connection whose request is to be refused may take to send its first byte, and then
// the rest of its headers.
constexpr duration refusal_timeout{1'000};
// How long the caller may take to read the last response before the socket is closed.
constexpr duration linger_timeout{1'000};

http_headers copy_headers(const http::fields& fields) {
    http_headers headers;
    for (const auto& each : fields) {
        headers.push_back({std::string(each.name_string()), std::string(each.value())});
    }
    return headers;
}

} // namespace

caller_server::connection::connection(boost::asio::ip::tcp::socket socket,
                                      std::shared_ptr<state> shared)
    : shared_(std::move(shared)), socket_(std::move(socket)), timer_(socket_.get_executor()),
      share_(shared_->budget, *this) {
    shared_->connections.insert(this);
    ++shared_->open_connections;
}

caller_server::connection::~connection() {
    end_replaceable();
    shared_->connections.erase(this);
    shared_->open_connections -= is_closed_ ? 0 : 1;
}

void caller_server::connection::start() {
    set_socket_options(socket_);
    read_request();
}

void caller_server::connection::start_refusing() {
    is_refusing_ = true;
    start();
}

void caller_server::connection::become_replaceable() {
    replaceable_number_ = shared_->next_replaceable_number++;
    shared_->replaceable.emplace(replaceable_number_, this);
}

void caller_server::connection::end_replaceable() {
    shared_->replaceable.erase(std::exchange(replaceable_number_, 0));
}

bool caller_server::connection::is_idle() {
    return is_closed_ || (is_idle_ && !has_unread_input());
}

void caller_server::connection::close_if_idle() {
    if (is_idle()) {
        close();
    }
}

bool caller_server::connection::make_room() {
    const bool is_unused = !is_closed_ && (is_lingering_ || is_idle());
    if (is_unused) {
        close();
    }
    return is_unused;
}

void caller_server::connection::reject_incomplete_request() {
    if (is_reading_ && !is_closed_) {
        on_request_timeout();
    }
}

bool caller_server::connection::has_unread_input() {
    return input_.size() > 0 || peek_input() == input_state::readable;
}

void caller_server::connection::read_request() {
    if (is_closed_) {
        return;
    }
    is_idle_ = true;
    is_response_queued_ = false;
    body_ends_with_connection_ = false;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(shared_->limits.max_header_bytes));
    parser_->body_limit(shared_->limits.max_body_bytes);
    input_.max_size(std::max(input_.size(), shared_->limits.max_header_bytes + max_unparsed_bytes));
    if (input_.size() > 0) {
        on_first_bytes({});
        return;
    }
    become_replaceable();
    set_timer(is_refusing_ ? refusal_timeout : shared_->limits.idle_timeout,
              &connection::on_close_timeout);
    socket_.async_wait(boost::asio::socket_base::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& error) {
                           self->on_first_bytes(error);
                       });
}

void caller_server::connection::on_first_bytes(const boost::system::error_code& error) {
    end_replaceable();
    if (error || is_closed_) {
        close();
        return;
    }
    is_idle_ = false;
    is_reading_ = true;
    set_timer(is_refusing_ ? refusal_timeout : shared_->limits.header_timeout,
              &connection::on_request_timeout);
    http::async_read_header(socket_, input_, *parser_,
                            [self = shared_from_this()](const boost::system::error_code& failed,
                                                        std::size_t) { self->on_headers(failed); });
}

void caller_server::connection::on_headers(const boost::system::error_code& error) {
    if (is_closed_ || is_response_queued_) { // closed, or rejected by a timeout
        return;
    }
    if (error) {
        reject_for_error(error);
        return;
    }
    if (is_refusing_) {
        refuse();
        return;
    }
    const auto& head = parser_->get();
    supports_chunked_ = head.version() >= 11;
    if (head.count(http::field::host) != 1 || head.version() > 11) {
        reject({400, {}});
        return;
    }
    if (same_header_name(std::string(head[http::field::expect]), "100-continue") &&
        supports_chunked_) { // HTTP/1.0 has no interim responses
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    set_timer(shared_->limits.idle_timeout, &connection::on_request_timeout);
    parser_->eager(true);
    read_body();
}

void caller_server::connection::read_body() {
    if (parser_->is_done()) {
        on_request_read({});
        return;
    }
    http::async_read_some(socket_, input_, *parser_,
                          [self = shared_from_this()](const boost::system::error_code& error,
                                                      std::size_t) { self->on_body_part(error); });
}

void caller_server::connection::on_body_part(const boost::system::error_code& error) {
    if (error || is_closed_ || is_response_queued_) {
        on_request_read(error);
        return;
    }
    request_bytes_ = parser_->get().body().size();
    count_buffers();
    read_body();
}

void caller_server::connection::on_request_read(const boost::system::error_code& error) {
    if (is_closed_ || is_response_queued_) { // closed, or rejected by a timeout
        return;
    }
    if (error) {
        reject_for_error(error);
        return;
    }
    cancel_timer();
    is_reading_ = false;
    dispatch_request();
}

caller_server::connection::input_state caller_server::connection::peek_input() {
    char byte = 0;
    const auto peeked_bytes = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (peeked_bytes > 0) {
        return input_state::readable;
    }
    const bool is_open = peeked_bytes < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    return is_open ? input_state::empty : input_state::ended;
}

void caller_server::connection::dispatch_request() {
    if (peek_input() == input_state::ended) { // the caller has left
        close();
        return;
    }
    auto& message = parser_->get();
    keep_alive_ = message.keep_alive();
    caller_request request{std::string(message.method_string()), std::string(message.target()),
                           copy_headers(message), std::move(message.body()),
                           shared_->time_source.now()};
    auto created = std::make_shared<exchange>(shared_from_this(), std::move(request));
    current_exchange_ = created;
    watch_for_close();
    shared_->handler.on_request(std::move(created));
}

void caller_server::connection::reject(const http_head& head) {
    cancel_timer();
    shared_->handler.on_bad_request(head.status);
    send_rejection(head);
}

void caller_server::connection::refuse() {
    cancel_timer();
    shared_->handler.on_connection_limit(connection_limit_action::refused);
    send_rejection({503, {{"Retry-After", overload_retry_after}}});
}

void caller_server::connection::send_rejection(const http_head& head) {
    is_reading_ = false;
    keep_alive_ = false;
    is_response_queued_ = true;
    send(head_text(head, "Content-Length: 0\r\n"));
}

void caller_server::connection::reject_partial(const http_head& head) {
    reject(head);
    parser_->get().body() = {};
    request_bytes_ = 0;
    count_buffers();
    boost::system::error_code ignored; // the pending read completes with operation_aborted
    socket_.cancel(ignored);
}

void caller_server::connection::reject_for_error(const boost::system::error_code& error) {
    if (error == boost::asio::error::operation_aborted) {
        return; // a timeout has already rejected the request
    }
    if (error == http::error::header_limit) {
        reject({431, {}});
    } else if (error == http::error::body_limit) {
        reject({413, {}});
    } else if (error == http::error::end_of_stream || error == http::error::partial_message ||
               error.category() != http::make_error_code(http::error::bad_method).category()) {
        close(); // the caller closed the connection before its request was complete
    } else {
        reject({400, {}});
    }
}

void caller_server::connection::watch_for_close() {
    socket_.async_wait(boost::asio::socket_base::wait_read,
                       [weak = weak_from_this()](const boost::system::error_code& error) {
                           if (const auto self = weak.lock()) {
                               self->on_readable(error);
                           }
                       });
}

void caller_server::connection::on_readable(const boost::system::error_code& error) {
    if (is_closed_ || current_exchange_.expired() || error) {
        return;
    }
    switch (peek_input()) {
    case input_state::readable:
        break; // a pipelined request; it is read after the current response
    case input_state::empty:
        watch_for_close();
        break;
    case input_state::ended:
        on_caller_disconnected();
        break;
    }
}

void caller_server::connection::on_caller_disconnected() {
    const auto interrupted = current_exchange_.lock();
    interrupt();
    if (interrupted) {
        interrupted->notify_disconnected();
    }
}

std::string caller_server::connection::head_text(const http_head& head, std::string_view framing) {
    // A request that has already arrived is answered on this connection.
    if (shared_->is_draining && !has_unread_input()) {
        keep_alive_ = false;
    }
    std::string out = "HTTP/1.1 " + std::to_string(head.status) + ' ';
    out += reason_phrase(head.status);
    out += "\r\n";
    for (const auto& each : head.headers) {
        out += each.name + ": " + each.value + "\r\n";
    }
    out += framing;
    if (!keep_alive_) {
        out += "Connection: close\r\n";
    }
    out += "\r\n";
    return out;
}

void caller_server::connection::send(std::string_view bytes) {
    if (is_closed_) {
        return;
    }
    queued_.append(bytes);
    if (!is_writing_) {
        write_next();
    }
    count_buffers();
}

void caller_server::connection::write_next() {
    is_writing_ = true;
    writing_.swap(queued_);
    queued_.clear();
    boost::asio::async_write(socket_, boost::asio::buffer(writing_),
                             [self = shared_from_this()](const boost::system::error_code& error,
                                                         std::size_t) { self->on_written(error); });
}

void caller_server::connection::on_written(const boost::system::error_code& error) {
    is_writing_ = false;
    if (is_closed_) {
        return;
    }
    if (error) {
        on_caller_disconnected();
        return;
    }
    writing_.clear();
    if (writing_.capacity() > max_kept_buffer_bytes) {
        writing_ = {};
    }
    const bool has_more = !queued_.empty();
    if (has_more) {
        write_next();
    } else if (queued_.capacity() > max_kept_buffer_bytes) {
        queued_ = {};
    }
    count_buffers();
    if (has_more) {
        return;
    }
    if (is_response_queued_) {
        on_response_sent();
    }
}

void caller_server::connection::on_response_sent() {
    if (keep_alive_ && (!shared_->is_draining || has_unread_input())) {
        read_request();
    } else {
        linger();
    }
}

void caller_server::connection::linger() {
    boost::system::error_code ignored; // the caller may have closed already
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    is_lingering_ = true;
    become_replaceable();
    set_timer(linger_timeout, &connection::on_close_timeout);
    discard_buffer_.resize(discard_buffer_bytes);
    discard_input();
}

void caller_server::connection::discard_input() {
    socket_.async_read_some(
        boost::asio::buffer(discard_buffer_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
            if (error || self->is_closed_) {
                self->close();
            } else {
                self->discard_input();
            }
        });
}

void caller_server::connection::close() {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    --shared_->open_connections;
    end_replaceable();
    timer_.cancel();
    boost::system::error_code ignored; // a failed close leaves nothing to clean up
    socket_.close(ignored);
    count_buffers();
}

void caller_server::connection::interrupt() {
    if (body_ends_with_connection_) {
        boost::system::error_code ignored; // a socket that isn't open has nothing to reset
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    close();
}

void caller_server::connection::set_timer(duration after, void (connection::*expired)()) {
    cancel_timer();
    timer_.expires_after(after);
    timer_.async_wait([weak = weak_from_this(), expired,
                       number = timer_number_](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && !self->is_closed_ && self->timer_number_ == number) {
            ((*self).*expired)();
        }
    });
}

void caller_server::connection::cancel_timer() {
    ++timer_number_; // a wait that has expired may be queued already
    timer_.cancel();
}

void caller_server::connection::on_close_timeout() {
    close();
}

void caller_server::connection::on_request_timeout() {
    if (is_reading_) {
        reject_partial({408, {}});
    }
}

void caller_server::connection::count_buffers() {
    share_.set(is_closed_ ? 0 : request_bytes_ + queued_.size() + writing_.size());
}

bool caller_server::connection::release_buffers() {
    if (is_reading_) {
        reject_partial({503, {{"Retry-After", overload_retry_after}}});
        return true;
    }
    const bool is_unread = queued_.size() + writing_.size() >= buffer_share::unit_bytes;
    if (is_unread) { // otherwise the bytes are those of a request that is being served
        on_caller_disconnected();
    }
    return is_unread;
}

} // namespace camphorgrade::edge
