#include "caller_connection.h"

#include "socket_options.h"

#include <edge/header_rules.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace camphorgrade::edge {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t discard_bytes = 16'384;
// After an answer that closes: time for the caller to read it before the connection goes.
constexpr duration linger_time{1'000};

http_headers headers_of(const http::fields& fields) {
    http_headers headers;
    for (const auto& each : fields) {
        headers.push_back({std::string(each.name_string()), std::string(each.value())});
    }
    return headers;
}

} // namespace

caller_server::connection::connection(boost::asio::ip::tcp::socket socket,
                                      std::shared_ptr<state> shared)
    : shared_(std::move(shared)), socket_(std::move(socket)), timer_(socket_.get_executor()) {
    shared_->connections.insert(this);
}

caller_server::connection::~connection() {
    shared_->connections.erase(this);
}

void caller_server::connection::start() {
    tune(socket_);
    read_request();
}

void caller_server::connection::close_if_idle() {
    if (is_idle_) {
        close();
    }
}

void caller_server::connection::read_request() {
    if (is_closed_) {
        return;
    }
    is_idle_ = true;
    answer_done_ = false;
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(shared_->limits.max_header_bytes));
    parser_->body_limit(shared_->limits.max_body_bytes);
    if (input_.size() > 0) {
        on_first_bytes({});
        return;
    }
    set_timer(shared_->limits.idle_timeout, &connection::on_idle_expired);
    socket_.async_wait(boost::asio::socket_base::wait_read,
                       [self = shared_from_this()](const boost::system::error_code& error) {
                           self->on_first_bytes(error);
                       });
}

void caller_server::connection::on_first_bytes(const boost::system::error_code& error) {
    if (error || is_closed_) {
        close();
        return;
    }
    is_idle_ = false;
    set_timer(shared_->limits.header_timeout, &connection::on_header_expired);
    http::async_read_header(socket_, input_, *parser_,
                            [self = shared_from_this()](const boost::system::error_code& failed,
                                                        std::size_t) { self->on_headers(failed); });
}

void caller_server::connection::on_headers(const boost::system::error_code& error) {
    if (is_closed_) {
        return;
    }
    if (error) {
        refuse_for(error);
        return;
    }
    const auto& head = parser_->get();
    has_chunks_ = head.version() >= 11;
    if (head.count(http::field::host) != 1 || head.version() > 11) {
        refuse(400);
        return;
    }
    if (same_header_name(std::string(head[http::field::expect]), "100-continue")) {
        send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    set_timer(shared_->limits.idle_timeout, &connection::on_header_expired);
    http::async_read(socket_, input_, *parser_,
                     [self = shared_from_this()](const boost::system::error_code& failed,
                                                 std::size_t) { self->on_whole(failed); });
}

void caller_server::connection::on_whole(const boost::system::error_code& error) {
    if (is_closed_) {
        return;
    }
    if (error) {
        refuse_for(error);
        return;
    }
    timer_.cancel();
    hand_on();
}

void caller_server::connection::hand_on() {
    auto& message = parser_->get();
    keep_alive_ = message.keep_alive();
    caller_request request{std::string(message.method_string()), std::string(message.target()),
                           headers_of(message), std::move(message.body()), shared_->time.now()};
    auto created = std::make_shared<exchange>(shared_from_this(), std::move(request));
    current_ = created;
    watch_for_close();
    shared_->handler.on_request(std::move(created));
}

void caller_server::connection::refuse(int status) {
    shared_->handler.on_bad_request(status);
    keep_alive_ = false;
    answer_done_ = true;
    send(head_text({status, {}}, "Content-Length: 0\r\n"));
}

void caller_server::connection::refuse_for(const boost::system::error_code& error) {
    if (error == boost::asio::error::operation_aborted) {
        return; // a timeout has refused it already
    }
    if (error == http::error::header_limit) {
        refuse(431);
    } else if (error == http::error::body_limit) {
        refuse(413);
    } else if (error == http::error::end_of_stream || error == http::error::partial_message ||
               error.category() != http::make_error_code(http::error::bad_method).category()) {
        close(); // the caller went in the middle of its request
    } else {
        refuse(400);
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
    if (is_closed_ || current_.expired() || error) {
        return;
    }
    char byte = 0;
    const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0) {
        return; // the next request came early; it is read after this answer
    }
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        watch_for_close();
        return;
    }
    caller_is_gone();
}

void caller_server::connection::caller_is_gone() {
    const auto now_gone = current_.lock();
    close();
    if (now_gone) {
        now_gone->caller_left();
    }
}

std::string caller_server::connection::head_text(const http_head& head, std::string_view framing) {
    if (shared_->is_draining) {
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
        caller_is_gone();
        return;
    }
    if (!queued_.empty()) {
        write_next();
    } else if (answer_done_) {
        answer_complete();
    }
}

void caller_server::connection::answer_complete() {
    if (keep_alive_ && !shared_->is_draining) {
        read_request();
    } else {
        linger();
    }
}

void caller_server::connection::linger() {
    boost::system::error_code ignored; // the caller may have closed already
    socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    set_timer(linger_time, &connection::on_idle_expired);
    discarded_.resize(discard_bytes);
    drain_input();
}

void caller_server::connection::drain_input() {
    socket_.async_read_some(
        boost::asio::buffer(discarded_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
            if (error || self->is_closed_) {
                self->close();
            } else {
                self->drain_input();
            }
        });
}

void caller_server::connection::close() {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    timer_.cancel();
    boost::system::error_code ignored; // nothing is left to do with a socket that fails to close
    socket_.close(ignored);
}

void caller_server::connection::set_timer(duration after, void (connection::*expired)()) {
    timer_.expires_after(after);
    timer_.async_wait([weak = weak_from_this(), expired](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && !self->is_closed_) {
            ((*self).*expired)();
        }
    });
}

void caller_server::connection::on_idle_expired() {
    close();
}

void caller_server::connection::on_header_expired() {
    boost::system::error_code ignored; // the read that is under way ends with an error
    refuse(408);
    socket_.cancel(ignored);
}

} // namespace camphorgrade::edge
