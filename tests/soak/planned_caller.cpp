#include "planned_caller.h"

#include "timed_backend.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <utility>

namespace camphorgrade::soak {

namespace {

constexpr duration pause_between_requests{20};
constexpr std::size_t half_body_bytes = 10;

std::string request_text(const planned_request& request) {
    const std::string body(2 * half_body_bytes, 'x');
    return "POST " + request.target +
           " HTTP/1.1\r\nHost: stop.example\r\nX-Request-Id: " + request.id + "\r\n" + work_header +
           ": " + std::to_string(request.work.count()) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

planned_caller::planned_caller(boost::asio::io_context& loop, const clock& clock,
                               boost::asio::ip::tcp::endpoint gateway, planned_request request)
    : loop_(loop), clock_(clock), gateway_(std::move(gateway)), timer_(loop),
      first_(std::move(request)) {}

template <typename Handler>
void planned_caller::wait_until(time_point at, Handler handler) {
    timer_.expires_after(std::max(at - clock_.now(), duration::zero()));
    timer_.async_wait([handler](const boost::system::error_code& error) {
        if (!error) {
            handler();
        }
    });
}

void planned_caller::start() {
    results_.push_back({first_, {}, {}, false, 0, {}, {}});
    wait_until(first_.connect_at, [this] { connect(); });
}

void planned_caller::connect() {
    stream_ = std::make_unique<boost::beast::tcp_stream>(loop_);
    buffer_.clear();
    stream_->async_connect(gateway_, [this](const boost::system::error_code& error) {
        if (error) {
            is_done_ = true;
            end("connect: " + error.message());
            return;
        }
        wait_until(current().request.send_at, [this] { send(); });
    });
}

void planned_caller::send() {
    bytes_ = request_text(current().request);
    parser_.emplace();
    const auto complete_at = current().request.complete_at;
    if (!complete_at) {
        send_part(0, bytes_.size());
    } else {
        send_part(0, bytes_.size() - half_body_bytes);
        wait_until(*complete_at,
                   [this] { send_part(bytes_.size() - half_body_bytes, bytes_.size()); });
    }
    read();
}

void planned_caller::send_part(std::size_t from, std::size_t to) {
    if (current().ended) {
        return;
    }
    boost::system::error_code error; // the read reports the end of the connection
    boost::asio::write(stream_->socket(), boost::asio::buffer(bytes_.data() + from, to - from),
                       error);
    if (!error && to == bytes_.size()) {
        current().sent = clock_.now();
    }
}

void planned_caller::read() {
    namespace http = boost::beast::http;
    http::async_read(*stream_, buffer_, *parser_,
                     [this](const boost::system::error_code& error, std::size_t) {
                         if (parser_->is_header_done()) {
                             current().status = parser_->get().result_int();
                             current().body = parser_->get().body();
                         }
                         current().has_complete_response = !error;
                         end(error ? error.message() : "");
                     });
}

void planned_caller::end(const std::string& error) {
    auto& result = current();
    result.ended = clock_.now();
    result.error = error;
    const bool keeps_connection = result.has_complete_response && parser_->get().keep_alive();
    if (!keeps_connection && stream_) {
        boost::system::error_code ignored;
        stream_->socket().close(ignored);
    }
    if (first_.repeats && !is_done_) {
        repeat(keeps_connection);
    } else {
        is_done_ = true;
    }
}

void planned_caller::repeat(bool keeps_connection) {
    auto next = first_;
    next.id += '-' + std::to_string(results_.size());
    next.connect_at = clock_.now() + pause_between_requests;
    next.send_at = next.connect_at;
    results_.push_back({next, {}, {}, false, 0, {}, {}});
    wait_until(next.connect_at, [this, keeps_connection] {
        if (keeps_connection) {
            send();
        } else {
            connect();
        }
    });
}

} // namespace camphorgrade::soak
