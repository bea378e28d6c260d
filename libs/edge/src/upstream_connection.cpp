#include "upstream_connection.h"

#include "socket_options.h"

#include <edge/header_rules.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <functional>
#include <utility>

namespace camphorgrade::edge {

namespace {

namespace http = boost::beast::http;

constexpr int first_interim_status = 100;
constexpr int status_switching_protocols = 101;
constexpr int first_final_status = 200;
constexpr int end_of_statuses = 600;

/** Whether a response with this status may follow a request that asks for no other protocol. */
bool is_expected_status(int status) {
    return status >= first_interim_status && status < end_of_statuses &&
           status != status_switching_protocols;
}

std::string serialize(const upstream_request& request) {
    std::string out = request.method + ' ' + request.target + " HTTP/1.1\r\n";
    for (const auto& each : request.headers) {
        out += each.name + ": " + each.value + "\r\n";
    }
    const bool has_body = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT" || request.method == "PATCH";
    if (has_body) {
        out += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    out += "\r\n";
    out += request.body;
    return out;
}

http_head copy_head(const http::fields& fields, unsigned status) {
    http_head head;
    head.status = static_cast<int>(status);
    for (const auto& each : fields) {
        head.headers.push_back({std::string(each.name_string()), std::string(each.value())});
    }
    return head;
}

/** Why a call failed whose response could not be read because of `error`. */
upstream_failure failure_of(const boost::system::error_code& error) {
    if (error == http::error::end_of_stream || error == http::error::partial_message ||
        error == boost::asio::error::eof) {
        return upstream_failure::closed;
    }
    if (error == boost::asio::error::timed_out) {
        return upstream_failure::timed_out;
    }
    const bool is_invalid =
        error.category() == http::make_error_code(http::error::bad_method).category();
    return is_invalid ? upstream_failure::malformed : upstream_failure::reset;
}

} // namespace

upstream_pool::connection::connection(std::shared_ptr<state> shared, upstream_address to)
    : shared_(std::move(shared)), address_(std::move(to)), socket_(shared_->loop),
      timer_(shared_->loop), input_(shared_->settings.max_unparsed_bytes) {}

std::uint64_t upstream_pool::connection::start(const upstream_request& request,
                                               upstream_sink& sink) {
    sink_ = &sink;
    ++call_number_;
    output_ = serialize(request);
    is_head_request_ = request.method == "HEAD";
    correlation_header_ = request.correlation_header;
    correlation_id_ = request.correlation_id;
    if (!correlation_header_.empty()) {
        record_carried_id();
    }
    request_write_ = write_state::pending;
    is_end_deferred_ = false;
    is_unrelated_response_ = false;
    skipped_responses_ = 0;
    skipped_bytes_ = 0;
    timer_.cancel();
    if (is_connected_) {
        send_request();
    } else {
        connect();
    }
    return call_number_;
}

void upstream_pool::connection::record_carried_id() {
    carried_ids_.push_back(std::hash<std::string>{}(correlation_id_));
    if (carried_ids_.size() > max_carried_ids) {
        carried_ids_.pop_front();
    }
}

void upstream_pool::connection::cancel(std::uint64_t number) {
    if (sink_ == nullptr || number != call_number_) {
        return;
    }
    sink_ = nullptr;
    // A reset discards the bytes that wait to be sent, so that a cancelled request isn't delivered
    // later.
    boost::system::error_code ignored; // a socket that isn't open has nothing to discard
    socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    close();
}

void upstream_pool::connection::set_timeout(std::uint64_t number, duration timeout) {
    if (sink_ == nullptr || number != call_number_) {
        return;
    }
    timer_.expires_after(timeout);
    timer_.async_wait([weak = weak_from_this(), number](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && self->sink_ != nullptr && self->call_number_ == number) {
            self->fail(upstream_failure::timed_out);
        }
    });
}

bool upstream_pool::connection::is_usable(time_point now) {
    if (is_closed_ || now >= usable_until_) {
        return false;
    }
    char byte = 0;
    const auto byte_count =
        ::recv(socket_.lowest_layer().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return byte_count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool upstream_pool::connection::can_attribute(const upstream_request& request) const {
    if (request.correlation_header.empty()) {
        return true;
    }
    const auto hash = std::hash<std::string>{}(request.correlation_id);
    return !request.correlation_id.empty() &&
           std::find(carried_ids_.begin(), carried_ids_.end(), hash) == carried_ids_.end();
}

void upstream_pool::connection::close() {
    if (is_closed_) {
        return;
    }
    is_closed_ = true;
    timer_.cancel();
    boost::system::error_code ignored; // a failed close leaves nothing to clean up
    socket_.close(ignored);
}

void upstream_pool::connection::connect() {
    timer_.expires_after(shared_->settings.connect_timeout);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && !self->is_connected_) {
            self->fail(upstream_failure::not_connected);
        }
    });
    socket_.async_connect(address_.endpoint,
                          [self = shared_from_this()](const boost::system::error_code& error) {
                              self->on_connected(error);
                          });
}

void upstream_pool::connection::on_connected(const boost::system::error_code& error) {
    if (is_closed_) {
        return;
    }
    if (error) {
        fail(upstream_failure::not_connected);
        return;
    }
    timer_.cancel();
    is_connected_ = true;
    set_socket_options(socket_);
    send_request();
}

void upstream_pool::connection::send_request() {
    boost::asio::async_write(
        socket_, boost::asio::buffer(output_),
        [self = shared_from_this()](const boost::system::error_code& error, std::size_t) {
            // On an error, the read may still succeed: a server may respond and close the
            // connection before it has read the whole request.
            self->request_write_ = error ? write_state::failed : write_state::complete;
        });
    read_head();
}

void upstream_pool::connection::read_head() {
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(shared_->settings.max_header_bytes));
    parser_->body_limit(boost::none);
    parser_->skip(is_head_request_);
    http::async_read_header(socket_, input_, *parser_,
                            [self = shared_from_this()](const boost::system::error_code& error,
                                                        std::size_t) { self->on_head(error); });
}

void upstream_pool::connection::on_head(const boost::system::error_code& error) {
    if (is_closed_) {
        return;
    }
    if (error) {
        fail(failure_of(error));
        return;
    }
    const auto status = static_cast<int>(parser_->get().result_int());
    if (!is_expected_status(status)) {
        fail(upstream_failure::malformed); // where its body ends is unknown
        return;
    }
    const bool is_interim = status < first_final_status;
    if (!is_interim && is_unattributable()) {
        fail(upstream_failure::malformed);
        return;
    }
    if (is_interim || !belongs_to_call()) {
        is_unrelated_response_ = !is_interim;
        skip_response();
        return;
    }
    is_unrelated_response_ = false;
    upstream_framing framing;
    const auto length = parser_->content_length();
    framing.has_length = static_cast<bool>(length);
    framing.length = length.value_or(0);
    framing.ends_with_connection = parser_->need_eof();
    framing.is_reused_connection = call_number_ > 1;
    if (framing.ends_with_connection) {
        detector_ = {};
        shared_->unframed.add(address_, shared_->time_source.now());
    }
    sink_->on_head(copy_head(parser_->get(), parser_->get().result_int()), framing);
    if (is_closed_) {
        return;
    }
    if (framing.ends_with_connection && framing.is_reused_connection) {
        fail(upstream_failure::malformed); // the body may hold responses to earlier requests
    } else {
        begin_body();
    }
}

void upstream_pool::connection::skip_response() {
    // No other response can be told from a body that has no end but that of the connection.
    const bool is_endless = is_unrelated_response_ && parser_->need_eof();
    if (++skipped_responses_ > shared_->settings.max_skipped_responses || is_endless) {
        fail(upstream_failure::malformed);
    } else if (is_unrelated_response_) {
        begin_body();
    } else {
        read_head();
    }
}

bool upstream_pool::connection::belongs_to_call() const {
    if (correlation_id_.empty()) {
        return true;
    }
    const auto& fields = parser_->get();
    const auto found = fields.find(correlation_header_);
    return found == fields.end() || found->value() == correlation_id_;
}

bool upstream_pool::connection::is_unattributable() const {
    const bool is_reused = call_number_ > 1;
    return is_reused && !correlation_id_.empty() && parser_->get().count(correlation_header_) == 0;
}

void upstream_pool::connection::begin_body() {
    if (parser_->is_done()) {
        complete();
    } else {
        read_body();
    }
}

void upstream_pool::connection::read_body() {
    auto& body = parser_->get().body();
    body.data = body_.data();
    body.size = body_.size();
    body.more = true;
    http::async_read_some(socket_, input_, *parser_,
                          [self = shared_from_this()](const boost::system::error_code& error,
                                                      std::size_t) { self->on_body(error); });
}

void upstream_pool::connection::on_body(const boost::system::error_code& error) {
    if (is_closed_) {
        return;
    }
    if (error && error != http::error::need_buffer) {
        fail(failure_of(error));
        return;
    }
    const std::size_t byte_count = body_.size() - parser_->get().body().size;
    if (is_unrelated_response_) {
        skipped_bytes_ += byte_count;
        if (skipped_bytes_ > shared_->settings.max_skipped_bytes) {
            fail(upstream_failure::malformed);
        }
    } else if (byte_count > 0) {
        deliver({body_.data(), byte_count});
    }
    if (is_closed_) {
        return;
    }
    begin_body();
}

void upstream_pool::connection::deliver(std::string_view bytes) {
    if (!parser_->need_eof()) {
        sink_->on_body(bytes);
        return;
    }
    const auto own_bytes = detector_.append(bytes);
    if (!own_bytes.empty()) {
        sink_->on_body(own_bytes);
    }
    if (detector_.is_found() && !is_closed_) {
        fail(upstream_failure::malformed);
    }
}

bool upstream_pool::connection::confirm_end() {
    if (!parser_->need_eof()) {
        return true;
    }
    if (request_write_ == write_state::failed) {
        fail(upstream_failure::reset); // the write took the error, so the read saw an orderly end
        return false;
    }
    const auto held_bytes = detector_.finish();
    if (detector_.is_found()) {
        fail(upstream_failure::malformed);
        return false;
    }
    if (!held_bytes.empty()) {
        sink_->on_body(held_bytes);
    }
    return !is_closed_;
}

void upstream_pool::connection::complete() {
    if (is_unrelated_response_) {
        read_head();
        return;
    }
    const bool is_still_writing = request_write_ == write_state::pending;
    if (parser_->need_eof() && is_still_writing && !std::exchange(is_end_deferred_, true)) {
        // A reset fails the write as well; its completion may still be queued.
        boost::asio::post(shared_->loop, [self = shared_from_this()] {
            if (!self->is_closed_) {
                self->complete();
            }
        });
        return;
    }
    if (!confirm_end()) {
        return;
    }
    const bool has_own_connection =
        (!correlation_header_.empty() && correlation_id_.empty()) ||
        shared_->unframed.contains(address_, shared_->time_source.now());
    const bool reusable = parser_->get().keep_alive() && request_write_ == write_state::complete &&
                          input_.size() == 0 && !parser_->need_eof() && !has_own_connection &&
                          !is_head_request_; // a repetition would be read as if it had a body
    const auto idle_for = reuse_time();
    auto* sink = std::exchange(sink_, nullptr);
    const auto self = shared_from_this();
    if (reusable && idle_for > duration::zero()) {
        return_to_pool(idle_for);
    } else {
        close();
    }
    sink->on_end();
}

duration upstream_pool::connection::reuse_time() const {
    const auto& settings = shared_->settings;
    const auto value = parser_->get()[http::field::keep_alive];
    const std::string_view text(value.data(), value.size());
    constexpr std::string_view parameter = "timeout=";
    const auto at = text.find(parameter);
    if (at == std::string_view::npos) {
        return settings.default_idle_timeout;
    }
    std::int64_t seconds = 0;
    const auto* begin = text.data() + at + parameter.size();
    std::from_chars(begin, text.data() + text.size(), seconds);
    return duration{seconds * 1'000} - settings.idle_margin;
}

void upstream_pool::connection::fail(upstream_failure failure) {
    auto* sink = std::exchange(sink_, nullptr);
    const auto self = shared_from_this();
    close();
    if (sink != nullptr) {
        sink->on_failure(failure);
    }
}

void upstream_pool::connection::return_to_pool(duration idle_for) {
    auto& idle = shared_->idle[address_];
    if (shared_->is_closing || idle.size() >= shared_->settings.max_idle_per_address ||
        shared_->idle_connections >= shared_->settings.max_idle) {
        close();
        return;
    }
    usable_until_ = shared_->time_source.now() + idle_for;
    idle.push_back(shared_from_this());
    ++shared_->idle_connections;
    watch_idle();
    timer_.expires_after(idle_for);
    timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
        const auto self = weak.lock();
        if (!error && self && self->sink_ == nullptr) {
            self->leave_pool();
        }
    });
}

void upstream_pool::connection::watch_idle() {
    socket_.async_wait(boost::asio::socket_base::wait_read,
                       [weak = weak_from_this()](const boost::system::error_code& error) {
                           const auto self = weak.lock();
                           if (!error && self && self->sink_ == nullptr) {
                               self->leave_pool(); // closed by the server, or unsolicited bytes
                           }
                       });
}

void upstream_pool::connection::leave_pool() {
    const auto self = shared_from_this();
    const auto found = shared_->idle.find(address_);
    if (found != shared_->idle.end()) {
        shared_->idle_connections -= std::erase(found->second, self);
    }
    close();
}

} // namespace camphorgrade::edge
