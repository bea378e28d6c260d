#include "soak_stream_writer.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <utility>

namespace camphorgrade::soak {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::uint64_t max_fragment_bytes = 96;
constexpr std::uint64_t max_fragment_pause_ms = 5;
// A connection that was closed in one direction is closed entirely after this time.
constexpr duration half_open_duration{1'000};

} // namespace

soak_stream_writer::soak_stream_writer(tcp::socket socket, random_source& random)
    : socket_(std::move(socket)), random_(random), timer_(socket_.get_executor()) {
    error_code ignored; // without this option the bytes only arrive later
    socket_.set_option(tcp::no_delay(true), ignored);
}

void soak_stream_writer::begin(const response_plan& plan) {
    is_fragmented_ = plan.is_fragmented;
    bytes_until_cut_ = plan.cut_after;
    cut_end_ = plan.resets_connection ? connection_end::reset : connection_end::fin;
}

std::size_t soak_stream_writer::write(std::string_view bytes) {
    if (end_) {
        return 0;
    }
    const auto accepted = std::min(bytes.size(), bytes_until_cut_.value_or(bytes.size()));
    write_unplanned(bytes.substr(0, accepted));
    if (bytes_until_cut_) {
        *bytes_until_cut_ -= accepted;
    }
    if (accepted < bytes.size()) {
        end(cut_end_);
    }
    return accepted;
}

void soak_stream_writer::write_unplanned(std::string_view bytes) {
    if (!end_) {
        waiting_ += bytes;
        write_next();
    }
}

void soak_stream_writer::end(connection_end how) {
    if (!end_) {
        end_ = how;
        write_next();
    }
}

void soak_stream_writer::reset() {
    end_ = connection_end::reset;
    waiting_.clear();
    close_socket();
}

void soak_stream_writer::write_next() {
    if (!being_written_.empty() || !socket_.is_open()) {
        return;
    }
    if (waiting_.empty()) {
        if (end_) {
            close_socket();
        }
        return;
    }
    const auto size = is_fragmented_ ? std::min<std::size_t>(1 + random_.below(max_fragment_bytes),
                                                             waiting_.size())
                                     : waiting_.size();
    being_written_ = waiting_.substr(0, size);
    waiting_.erase(0, size);
    boost::asio::async_write(
        socket_, boost::asio::buffer(being_written_),
        [self = shared_from_this()](const error_code& error, std::size_t) {
            if (error) {
                self->reset();
                return;
            }
            const auto pause =
                self->is_fragmented_ ? self->random_.below(max_fragment_pause_ms) : 0;
            self->timer_.expires_after(duration{static_cast<duration::rep>(pause)});
            self->timer_.async_wait([self](const error_code&) {
                self->being_written_.clear();
                self->write_next();
            });
        });
}

void soak_stream_writer::close_socket() {
    error_code ignored; // the peer may have closed the connection already
    if (*end_ == connection_end::reset) {
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
        return;
    }
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    timer_.expires_after(half_open_duration);
    timer_.async_wait([self = shared_from_this()](const error_code&) {
        error_code closed;
        self->socket_.close(closed);
    });
}

} // namespace camphorgrade::soak
