#include "caller_connection.h"

#include <array>
#include <cstdio>
#include <utility>

namespace camphorgrade::edge {

namespace {

// A caller that reads so much slower than its answer comes is taken for gone.
constexpr std::size_t max_unread_bytes = std::size_t{4} * 1024 * 1024;

std::string chunk(std::string_view bytes) {
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

caller_server::connection::exchange::exchange(std::shared_ptr<connection> on,
                                              caller_request request)
    : on_(std::move(on)), request_(std::move(request)) {
    ++on_->shared_->open_exchanges;
}

caller_server::connection::exchange::~exchange() {
    abort();
}

std::shared_ptr<caller_server::connection> caller_server::connection::exchange::release() {
    auto connection = std::move(on_);
    on_.reset();
    gone_ = nullptr;
    if (connection) {
        --connection->shared_->open_exchanges;
        connection->current_.reset();
    }
    return connection;
}

void caller_server::connection::exchange::caller_left() {
    auto callback = std::move(gone_);
    static_cast<void>(release());
    if (callback) {
        callback();
    }
}

void caller_server::connection::exchange::answer(const http_head& head, std::string_view body) {
    const auto connection = release();
    if (!connection) {
        return;
    }
    connection->answer_done_ = true;
    std::string out =
        connection->head_text(head, "Content-Length: " + std::to_string(body.size()) + "\r\n");
    if (request_.method != "HEAD") {
        out.append(body);
    }
    connection->send(out);
}

void caller_server::connection::exchange::begin(const http_head& head,
                                                std::optional<std::uint64_t> length) {
    if (!on_) {
        return;
    }
    left_ = length;
    is_chunked_ = !length && on_->has_chunks_;
    std::string framing;
    if (length) {
        framing = "Content-Length: " + std::to_string(*length) + "\r\n";
    } else if (is_chunked_) {
        framing = "Transfer-Encoding: chunked\r\n";
    } else {
        on_->keep_alive_ = false;
    }
    on_->send(on_->head_text(head, framing));
}

void caller_server::connection::exchange::write(std::string_view bytes) {
    if (!on_ || bytes.empty()) {
        return;
    }
    if (left_) {
        if (bytes.size() > *left_) {
            abort();
            return;
        }
        *left_ -= bytes.size();
    }
    on_->send(is_chunked_ ? chunk(bytes) : std::string(bytes));
    if (on_ && on_->queued_.size() > max_unread_bytes) {
        on_->caller_is_gone();
    }
}

void caller_server::connection::exchange::finish() {
    if (left_.value_or(0) != 0) {
        abort();
        return;
    }
    const auto connection = release();
    if (!connection) {
        return;
    }
    connection->answer_done_ = true;
    if (is_chunked_) {
        connection->send("0\r\n\r\n");
    } else if (!connection->is_writing_) {
        connection->answer_complete();
    }
}

void caller_server::connection::exchange::abort() {
    if (const auto connection = release()) {
        connection->close();
    }
}

} // namespace camphorgrade::edge
