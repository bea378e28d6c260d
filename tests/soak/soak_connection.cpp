#include "soak_connection.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace camphorgrade::soak {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint32_t max_header_bytes = 64 * 1'024;
constexpr std::uint64_t long_body_bytes = 100'000;
constexpr std::uint64_t max_repetition_delay_ms = 60;

std::string header_value(const http_headers& headers, const std::string& name) {
    return find_header(headers, name).value_or("");
}

} // namespace

/** Forwards to its connection while its response is open. */
class soak_connection::exchange final : public edge::caller_exchange {
public:
    exchange(std::shared_ptr<soak_connection> connection, edge::caller_request request)
        : connection_(std::move(connection)), number_(connection_->exchange_number_),
          request_(std::move(request)) {}

    const edge::caller_request& request() const override { return request_; }
    void on_disconnect(std::function<void()> callback) override {
        if (is_open()) {
            connection_->disconnected_ = std::move(callback);
        }
    }
    void answer(const http_head& head, std::string_view body) override {
        if (is_open()) {
            connection_->begin(head, body.size());
            connection_->write(body.substr(0, body.size() / 2));
            connection_->write(body.substr(body.size() / 2));
            finish();
        }
    }
    void begin(const http_head& head, std::optional<std::uint64_t> length) override {
        if (is_open()) {
            connection_->begin(head, length);
        }
    }
    void write(std::string_view bytes) override {
        if (is_open()) {
            connection_->write(bytes);
        }
    }
    void finish() override {
        if (is_open()) {
            connection_->finish();
        }
    }
    void abort() override {
        if (is_open()) {
            connection_->abort();
        }
    }

private:
    bool is_open() const {
        return connection_->is_response_open_ && connection_->exchange_number_ == number_;
    }

    std::shared_ptr<soak_connection> connection_;
    std::size_t number_;
    edge::caller_request request_;
};

soak_connection::soak_connection(tcp::socket socket, random_source& random,
                                 soak_server_handler& handler, response_ledger& responses)
    : writer_(std::make_shared<soak_stream_writer>(std::move(socket), random)), random_(random),
      handler_(handler), responses_(responses),
      repetition_timer_(writer_->socket().get_executor()) {}

void soak_connection::read() {
    writer_->socket().async_read_some(
        boost::asio::buffer(bytes_),
        [self = shared_from_this()](const error_code& error, std::size_t read) {
            self->on_read(error, read);
        });
}

void soak_connection::reset() {
    writer_->reset();
    disconnect();
}

void soak_connection::on_read(const error_code& error, std::size_t read) {
    if (error) {
        writer_->reset();
        disconnect();
        return;
    }
    input_.append(bytes_.data(), read);
    parse();
    if (!stops_reading_) {
        this->read();
    }
}

void soak_connection::parse() {
    while (!input_.empty() && !writer_->has_ended() && !stops_reading_) {
        if (!parser_) {
            if (is_response_open_) {
                return; // the next request waits for the end of this response
            }
            parser_.emplace();
            parser_->eager(true);
            parser_->header_limit(max_header_bytes);
            parser_->body_limit(boost::none);
            is_head_checked_ = false;
        }
        error_code error;
        const auto used = parser_->put(boost::asio::buffer(input_), error);
        input_.erase(0, used);
        if (error == http::error::need_more) {
            error = {};
        }
        if (error || (parser_->is_header_done() && !is_head_checked_ && !check_head())) {
            handler_.on_invalid_request(error ? error.message() : "invalid head");
            reset();
            return;
        }
        if (parser_->is_done()) {
            on_request_end();
        } else if (used == 0) {
            return;
        }
    }
}

bool soak_connection::check_head() {
    is_head_checked_ = true;
    const auto& head = parser_->get();
    const auto lengths = head.count(http::field::content_length);
    const auto encodings = head.count(http::field::transfer_encoding);
    if (lengths + encodings > 1 || head.count(http::field::host) != 1) {
        return false;
    }
    on_head();
    return true;
}

edge::caller_request soak_connection::parsed_request() const {
    const auto& message = parser_->get();
    edge::caller_request out;
    out.method = std::string(message.method_string());
    out.target = std::string(message.target());
    for (const auto& each : message) {
        out.headers.push_back({std::string(each.name_string()), std::string(each.value())});
    }
    out.body = message.body();
    return out;
}

void soak_connection::on_head() {
    keeps_open_ = parser_->keep_alive();
    const auto request = parsed_request();
    is_early_ = parser_->content_length().value_or(0) >= long_body_bytes &&
                random_.unit() < handler_.faults_for(request).early_share;
    if (is_early_) {
        stops_reading_ = random_.below(2) == 0;
        start_exchange(request, false);
    }
}

void soak_connection::on_request_end() {
    auto request = parsed_request();
    parser_.reset();
    if (is_early_) {
        is_early_ = false;
        handler_.on_late_body(request);
        end_response();
        return;
    }
    start_exchange(std::move(request), true);
}

void soak_connection::start_exchange(edge::caller_request request, bool has_body) {
    ++exchange_number_;
    is_response_open_ = true;
    plan_ = draw_plan(handler_.faults_for(request), random_);
    handler_.on_request(std::make_shared<exchange>(shared_from_this(), std::move(request)),
                        has_body);
}

void soak_connection::begin(const http_head& head, std::optional<std::uint64_t> length) {
    response_ = {head, header_value(head.headers, "X-Response-Seal"), {}, !length};
    write_pending_repetition();
    if (!response_.seal.empty()) {
        responses_.on_begin(header_value(head.headers, "X-Request-Id"), response_.seal);
    }
    writer_->begin(plan_);
    auto text = head_text(head);
    if (!plan_.is_unframed) {
        text += length ? "Content-Length: " + std::to_string(*length) + "\r\n"
                       : "Transfer-Encoding: chunked\r\n";
    } else if (random_.below(2) == 0) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    if (writer_->write(text) < text.size()) {
        record_end(response_end::broken);
    }
}

void soak_connection::write(std::string_view bytes) {
    if (bytes.empty()) {
        return;
    }
    if (!response_.body.empty() && !repeated_within_.empty()) {
        writer_->write_unplanned(repeated_within_);
        repeated_within_.clear();
    }
    write_body(bytes);
}

void soak_connection::write_body(std::string_view bytes) {
    const bool is_chunked = response_.is_chunked && !plan_.is_unframed;
    const auto text = is_chunked ? chunk_text(bytes) : std::string(bytes);
    response_.body += bytes;
    const auto written = writer_->write(text);
    if (!response_.seal.empty()) {
        responses_.on_body(response_.seal, plan_.is_unframed ? bytes.substr(0, written) : bytes);
    }
    if (written < text.size()) {
        record_end(plan_.is_unframed && !plan_.resets_connection ? response_end::closed_early
                                                                 : response_end::broken);
    }
}

void soak_connection::finish() {
    const bool is_chunked = response_.is_chunked && !plan_.is_unframed;
    if (is_chunked && writer_->write(last_chunk_text) < last_chunk_text.size()) {
        record_end(response_end::broken);
    }
    record_end(response_end::complete);
    is_response_open_ = false;
    disconnected_ = nullptr;
    if (stops_reading_) {
        writer_->end(connection_end::reset);
    } else if (plan_.is_unframed || !keeps_open_) {
        writer_->end(connection_end::fin);
    } else if (!is_early_) {
        plan_repetition();
        end_response();
    }
}

void soak_connection::abort() {
    record_end(response_end::broken);
    is_response_open_ = false;
    disconnected_ = nullptr;
    writer_->reset();
}

/** Goes on with the next request, if its bytes have arrived. */
void soak_connection::end_response() {
    if (!is_response_open_ && !is_early_) {
        boost::asio::post(writer_->socket().get_executor(),
                          [self = shared_from_this()] { self->parse(); });
    }
}

void soak_connection::record_end(response_end end) {
    if (!response_.seal.empty()) {
        responses_.on_end(response_.seal, end);
    }
}

void soak_connection::disconnect() {
    if (is_response_open_) {
        is_response_open_ = false;
        record_end(response_end::broken);
        if (const auto callback = std::exchange(disconnected_, nullptr)) {
            callback();
        }
    }
}

void soak_connection::plan_repetition() {
    if (!plan_.repeats || response_.seal.empty() || writer_->has_ended()) {
        return;
    }
    pending_repetition_ = plan_.repeats;
    repeated_within_ = repeated_text(*pending_repetition_);
    if (pending_repetition_->when == repetition_time::while_idle) {
        repeat_while_idle();
    }
}

std::string soak_connection::repeated_text(const repetition& plan) const {
    auto out = head_text(response_.head, plan.has_id);
    if (plan.has_framing) {
        out += "Content-Length: " + std::to_string(response_.body.size()) + "\r\n";
    }
    return out + "\r\n" + response_.body;
}

void soak_connection::repeat_while_idle() {
    repetition_timer_.expires_after(
        duration{static_cast<duration::rep>(random_.below(max_repetition_delay_ms))});
    repetition_timer_.async_wait([self = shared_from_this()](const error_code& error) {
        if (!error && !self->repeated_within_.empty()) {
            self->writer_->write_unplanned(self->repeated_within_);
            self->repeated_within_.clear();
        }
    });
}

/** Before the head of a response: writes an earlier response again, or keeps it for the body. */
void soak_connection::write_pending_repetition() {
    const auto pending = std::exchange(pending_repetition_, std::nullopt);
    repetition_timer_.cancel();
    if (!pending || repeated_within_.empty()) {
        return;
    }
    if (pending->when == repetition_time::within_next_response && !response_.seal.empty()) {
        plan_.is_unframed = true;
        return;
    }
    writer_->write_unplanned(repeated_within_);
    repeated_within_.clear();
}

} // namespace camphorgrade::soak
