#include "async_call.h"

#include <http/request_checks.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl/ssl_stream.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace camphorgrade {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

using plain_stream = beast::tcp_stream;
using tls_stream = beast::ssl_stream<beast::tcp_stream>;

constexpr unsigned http_11 = 11;
constexpr std::size_t first_buffer_bytes = std::size_t{8} * 1024;
constexpr auto informational = http::status_class::informational;

/** The request as it goes out; empty when it has a line that must not be sent. */
std::optional<http::request<http::string_body>> compose(const http_endpoint& endpoint,
                                                        const http_request& request) {
    http::request<http::string_body> composed;
    composed.version(http_11);
    composed.method_string(request.method);
    const std::string query = request.query.empty() ? "" : "?" + request.query;
    composed.target(encode_path(request.path) + query);
    for (const http_header& header : request.headers) {
        if (!is_valid_header(header)) {
            return std::nullopt;
        }
        composed.insert(header.name, header.value);
    }
    composed.set(http::field::host, endpoint.host + ":" + std::to_string(endpoint.port));
    composed.set(http::field::connection, "close");
    composed.erase(http::field::transfer_encoding);
    composed.body() = request.body;
    composed.prepare_payload();
    const bool is_clean =
        is_valid_header({request.method, query}) && query.find(' ') == std::string::npos;
    return is_clean ? std::optional(std::move(composed)) : std::nullopt;
}

http_head head_of(const http::response<http::string_body>& response) {
    http_head head;
    head.status = static_cast<int>(response.result_int());
    for (const auto& field : response) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return head;
}

/** The life of a call over a plain or an encrypted stream. All steps run on the stream's strand. */
template <typename Stream>
class stream_call final : public async_call,
                          public std::enable_shared_from_this<stream_call<Stream>> {
public:
    template <typename... StreamArguments>
    stream_call(async_call_plan plan, listener to, asio::io_context& context,
                StreamArguments&... arguments)
        : plan_(std::move(plan)), listener_(std::move(to)),
          stream_(asio::make_strand(context), arguments...) {
        buffer_.reserve(first_buffer_bytes);
    }

    void start() override {
        asio::post(stream_.get_executor(), [self = this->shared_from_this()] { self->connect(); });
    }

    void cancel() override {
        asio::post(stream_.get_executor(), [self = this->shared_from_this()] {
            self->is_cancelled_ = true;
            self->close();
        });
    }

private:
    static constexpr bool is_encrypted = std::is_same_v<Stream, tls_stream>;

    void close() { beast::get_lowest_layer(stream_).close(); }

    void connect() {
        error_code failure;
        const auto address = asio::ip::make_address(plan_.endpoint.host, failure);
        auto composed = compose(plan_.endpoint, plan_.request);
        if (failure || !composed || is_cancelled_) {
            fail(call_failure_kind::not_sent);
            return;
        }
        request_ = std::move(*composed);
        const auto connect_deadline =
            std::chrono::steady_clock::now() + plan_.limits.connect_timeout;
        auto& socket = beast::get_lowest_layer(stream_);
        socket.expires_at(
            std::min<std::chrono::steady_clock::time_point>(connect_deadline, plan_.deadline));
        socket.async_connect(
            asio::ip::tcp::endpoint(address, plan_.endpoint.port),
            [self = this->shared_from_this()](error_code error) { self->on_connected(error); });
    }

    void on_connected(error_code error) {
        if (error || is_cancelled_) {
            fail(call_failure_kind::not_sent);
            return;
        }
        if constexpr (is_encrypted) {
            stream_.set_verify_callback(asio::ssl::host_name_verification(plan_.endpoint.host));
            stream_.async_handshake(
                asio::ssl::stream_base::client,
                [self = this->shared_from_this()](error_code failure) { self->send(failure); });
        } else {
            error_code ignored;
            stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            send({});
        }
    }

    void send(error_code error) {
        if (error || is_cancelled_) {
            fail(call_failure_kind::not_sent);
            return;
        }
        beast::get_lowest_layer(stream_).expires_at(plan_.deadline);
        http::async_write(stream_, request_,
                          [self = this->shared_from_this()](error_code failure, std::size_t sent) {
                              self->on_sent(failure, sent);
                          });
    }

    void on_sent(error_code error, std::size_t sent) {
        if (error) {
            const bool nothing_left = sent == 0 && !is_encrypted;
            fail(nothing_left ? call_failure_kind::not_sent : call_failure_kind::broken);
            return;
        }
        begin_response();
        receive();
    }

    void begin_response() {
        parser_.emplace();
        parser_->skip(plan_.request.method == "HEAD");
        parser_->header_limit(static_cast<std::uint32_t>(plan_.limits.max_header_bytes));
        parser_->body_limit(plan_.limits.max_body_bytes);
    }

    /** Not eager: an eager parser holds a chunk back until it has seen the start of the next. */
    void receive() {
        http::async_read_some(
            stream_, buffer_, *parser_,
            [self = this->shared_from_this()](error_code error, std::size_t /*bytes*/) {
                self->on_received(error);
            });
    }

    void on_received(error_code error) {
        if (parser_->is_header_done() && is_informational()) {
            begin_response();
            receive();
            return;
        }
        pass_on();
        const bool is_done = parser_->is_done();
        if (error || is_cancelled_ || (is_done && ends_with_connection_)) {
            fail(call_failure_kind::broken);
        } else if (is_done) {
            finish(http_end{});
        } else {
            receive();
        }
    }

    bool is_informational() const {
        return http::to_status_class(parser_->get().result_int()) == informational;
    }

    /** Hands on what has been parsed since the last time. */
    void pass_on() {
        if (is_over_ || !parser_->is_header_done()) {
            return;
        }
        if (!has_head_) {
            has_head_ = true;
            ends_with_connection_ = parser_->need_eof();
            listener_(head_of(parser_->get()));
        }
        std::string& body = parser_->get().body();
        if (!body.empty()) {
            listener_(http_chunk{std::exchange(body, {})});
        }
    }

    void fail(call_failure_kind kind) { finish(call_failure{kind}); }

    void finish(call_progress last) {
        if (is_over_) {
            return;
        }
        is_over_ = true;
        close();
        listener_(std::move(last));
    }

    const async_call_plan plan_;
    const listener listener_;
    Stream stream_;
    beast::flat_buffer buffer_;
    http::request<http::string_body> request_;
    std::optional<http::response_parser<http::string_body>> parser_;
    bool has_head_ = false;
    bool ends_with_connection_ = false;
    bool is_cancelled_ = false;
    bool is_over_ = false;
};

} // namespace

std::shared_ptr<async_call> make_async_call(asio::io_context& context, asio::ssl::context& tls,
                                            async_call_plan plan, async_call::listener listener) {
    if (plan.endpoint.uses_tls) {
        return std::make_shared<stream_call<tls_stream>>(std::move(plan), std::move(listener),
                                                         context, tls);
    }
    return std::make_shared<stream_call<plain_stream>>(std::move(plan), std::move(listener),
                                                       context);
}

asio::ssl::context make_client_tls(const std::string& path) {
    asio::ssl::context tls(asio::ssl::context::tls_client);
    tls.set_verify_mode(asio::ssl::verify_peer);
    if (!path.empty()) {
        error_code unreadable;
        // A file that cannot be read leaves nothing trusted, so that every handshake fails.
        tls.load_verify_file(path, unreadable);
    }
    return tls;
}

} // namespace camphorgrade
