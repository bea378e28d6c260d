#include "caller_connection.h"

#include <array>
#include <cstdio>
#include <utility>

namespace camphorgrade::edge {

namespace {

// A caller that leaves this many bytes of its response unread is treated as disconnected.
constexpr std::size_t max_queued_bytes = std::size_t{4} * 1024 * 1024;

/** Whether a response with `status` has a body unless it is one to HEAD. */
bool may_have_body(int status) {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status != no_content && status != not_modified;
}

std::string encode_chunk(std::string_view bytes) {
    std::array<char, 24> size{};
    const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string out;
    out.reserve(bytes.size() + 24);
    out.append(size.data(), static_cast<std::size_t>(digits));
    out.append(bytes);
    out.append("\r\n");
    return out;
}

} // namespace

caller_server::connection::exchange::exchange(std::shared_ptr<connection> owner,
                                              caller_request request)
    : connection_(std::move(owner)), request_(std::move(request)) {
    ++connection_->shared_->open_exchanges;
}

caller_server::connection::exchange::~exchange() {
    abort();
}

std::shared_ptr<caller_server::connection> caller_server::connection::exchange::detach() {
    auto connection = std::move(connection_);
    connection_.reset();
    disconnect_callback_ = nullptr;
    if (connection) {
        --connection->shared_->open_exchanges;
        connection->current_exchange_.reset();
        connection->request_bytes_ = 0;
        connection->count_buffers();
    }
    return connection;
}

void caller_server::connection::exchange::notify_disconnected() {
    auto callback = std::move(disconnect_callback_);
    static_cast<void>(detach());
    if (callback) {
        callback();
    }
}

void caller_server::connection::exchange::answer(const http_head& head, std::string_view body) {
    const auto connection = detach();
    if (!connection) {
        return;
    }
    connection->is_response_queued_ = true;
    std::string out =
        connection->head_text(head, "Content-Length: " + std::to_string(body.size()) + "\r\n");
    if (request_.method != "HEAD") {
        out.append(body);
    }
    connection->send(out);
}

void caller_server::connection::exchange::begin(const http_head& head,
                                                std::optional<std::uint64_t> length) {
    if (!connection_) {
        return;
    }
    has_body_ = request_.method != "HEAD" && may_have_body(head.status);
    remaining_length_ = has_body_ ? length : std::nullopt;
    is_chunked_ = has_body_ && !length && connection_->supports_chunked_;
    if (has_body_ && !length && !is_chunked_) {
        connection_->keep_alive_ = false;
        connection_->body_ends_with_connection_ = true;
    }
    connection_->send(connection_->head_text(head, framing_line(head.status, length)));
}

std::string
caller_server::connection::exchange::framing_line(int status,
                                                  std::optional<std::uint64_t> length) const {
    if (!may_have_body(status)) {
        return {}; // the response ends with its head
    }
    if (length) {
        return "Content-Length: " + std::to_string(*length) + "\r\n";
    }
    return connection_->supports_chunked_ ? "Transfer-Encoding: chunked\r\n" : "";
}

void caller_server::connection::exchange::write(std::string_view bytes) {
    if (!connection_ || bytes.empty() || !has_body_) {
        return;
    }
    if (remaining_length_) {
        if (bytes.size() > *remaining_length_) {
            abort();
            return;
        }
        *remaining_length_ -= bytes.size();
    }
    connection_->send(is_chunked_ ? encode_chunk(bytes) : std::string(bytes));
    if (connection_ && connection_->queued_.size() > max_queued_bytes) {
        connection_->on_caller_disconnected();
    }
}

void caller_server::connection::exchange::finish() {
    if (remaining_length_.value_or(0) != 0) {
        abort();
        return;
    }
    const auto connection = detach();
    if (!connection) {
        return;
    }
    connection->is_response_queued_ = true;
    if (is_chunked_) {
        connection->send("0\r\n\r\n");
    } else if (!connection->is_writing_) {
        connection->on_response_sent();
    }
}

void caller_server::connection::exchange::abort() {
    if (const auto connection = detach()) {
        connection->interrupt();
    }
}

} // namespace camphorgrade::edge
