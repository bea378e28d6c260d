#include "civetweb_server.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>
#include <utility>

#include <civetweb.h>
#include <poll.h>
#include <sys/socket.h>

namespace camphorgrade {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t drain_block_bytes = std::size_t{16} * 1024;

/** A refused body is read and dropped up to this many times the largest one allowed. */
constexpr std::size_t drain_factor = 4;

} // namespace

void civetweb_server::serve(mg_connection* connection) {
    connection_state& state = *state_of(connection);
    if (state.is_excess) {
        refuse(connection, request_fault::too_busy);
        return;
    }
    find_descriptor(connection, state);
    leaf::try_handle_all(
        [&]() -> leaf::result<void> {
            BOOST_LEAF_AUTO(request, read_request(connection, settings_));
            answer_framing framing = framing_of(connection);
            framing.close = framing.close || !keeps_alive();
            run_exchange(connection, std::move(request), framing);
            return {};
        },
        [&](request_fault fault) { refuse(connection, fault); },
        [&] { refuse(connection, request_fault::malformed); });
    state.idle_since = clock_.now();
}

void civetweb_server::refuse(mg_connection* connection, request_fault fault) {
    mg_disable_keep_alive(connection);
    answer_framing framing;
    framing.close = true;
    send_whole(connection, formatter_.format(fault), framing);
    const connection_state* const state = state_of(connection);
    if (state != nullptr && state->descriptor != no_descriptor) {
        drain(state->descriptor);
    }
}

/** Discards what still comes in: closing over unread bytes would reset the refusal away. */
void civetweb_server::drain(int descriptor) const {
    ::shutdown(descriptor, SHUT_WR);
    const time_point deadline = clock_.now() + settings_.request_timeout;
    std::size_t left = drain_factor * settings_.max_body_bytes;
    std::array<char, drain_block_bytes> block{};
    for (time_point now = clock_.now(); left > 0 && now < deadline; now = clock_.now()) {
        pollfd watch{descriptor, POLLIN, 0};
        ::poll(&watch, 1, static_cast<int>((deadline - now).count()));
        const ssize_t got = ::recv(descriptor, block.data(), std::min(left, block.size()), 0);
        if (got <= 0) {
            return;
        }
        left -= static_cast<std::size_t>(got);
    }
}

void civetweb_server::run_exchange(mg_connection* connection, http_request request,
                                   answer_framing framing) {
    exchange_id id;
    {
        const std::lock_guard lock(mutex_);
        id = exchange_id{++last_exchange_};
    }
    const auto answer = open_exchange(id, state_of(connection)->descriptor);
    handler_.on_request(id, std::move(request), make_exchange_writer(answer));
    const std::optional<caller_loss> loss = deliver(connection, *answer, framing);
    answer->finish();
    close_exchange(id);
    if (framing.close || loss) {
        mg_disable_keep_alive(connection);
    }
    if (loss) {
        handler_.on_caller_lost(id, *loss);
    }
}

/** Sends the parts of an answer as they come; returns why the caller missed some of it. */
std::optional<caller_loss> civetweb_server::deliver(mg_connection* connection, exchange& answer,
                                                    const answer_framing& framing) {
    for (;;) {
        auto next = answer.wait();
        if (const auto* loss = std::get_if<caller_loss>(&next)) {
            return *loss;
        }
        const response_part& part = std::get<response_part>(next);
        bool sent = true;
        if (const auto* whole = std::get_if<http_response>(&part)) {
            sent = send_whole(connection, *whole, framing);
        } else if (const auto* head = std::get_if<http_head>(&part)) {
            if (framing.is_http_10) {
                refuse(connection, request_fault::unsupported);
                return caller_loss::closed;
            }
            sent = send_stream_head(connection, *head, framing);
        } else if (const auto* chunk = std::get_if<http_chunk>(&part)) {
            sent = framing.without_body || send_stream_chunk(connection, chunk->bytes);
        } else if (std::holds_alternative<http_end>(part)) {
            sent = framing.without_body || send_stream_end(connection);
        } else {
            mg_disable_keep_alive(connection);
            return std::nullopt;
        }
        if (!sent) {
            return answer.loss().value_or(caller_loss::closed);
        }
        if (std::holds_alternative<http_response>(part) || std::holds_alternative<http_end>(part)) {
            return std::nullopt;
        }
    }
}

std::shared_ptr<exchange> civetweb_server::open_exchange(exchange_id id, int descriptor) {
    auto opened = std::make_shared<exchange>(descriptor, settings_.max_pending_bytes);
    const std::lock_guard lock(mutex_);
    if (stopping_) {
        opened->lose(caller_loss::stopping);
    }
    exchanges_.emplace(id, opened);
    return opened;
}

void civetweb_server::close_exchange(exchange_id id) {
    const std::lock_guard lock(mutex_);
    exchanges_.erase(id);
}

} // namespace camphorgrade
