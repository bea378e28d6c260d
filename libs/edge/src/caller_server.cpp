#include "caller_connection.h"

#include <kernel/check.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace camphorgrade::edge {

namespace {

// Length of the accept queue, so that the operating system doesn't drop connections in a burst.
constexpr int accept_backlog = 1024;
// Pause after a failed accept: without it, an acceptor that keeps failing takes the whole processor
// from the connections whose end would let it succeed.
constexpr duration accept_retry_interval{100};
// Connections that are accepted before other events are handled.
constexpr std::size_t max_accepts_per_turn = 64;
// Connections that are looked at to find an unused one; those with unread input are in use.
constexpr std::size_t max_examined_connections = 16;
// Connections beyond the limit, as a part of it, that may be open to refuse their requests.
constexpr std::size_t refusing_divisor = 8;

} // namespace

std::string_view to_string(connection_limit_action action) noexcept {
    switch (action) {
    case connection_limit_action::idle_closed:
        return "idle_closed";
    case connection_limit_action::refused:
        return "refused";
    case connection_limit_action::closed:
        return "closed";
    }
    return "unknown";
}

caller_server::caller_server(boost::asio::io_context& loop, const clock& clock,
                             caller_handler& handler, buffer_budget* budget)
    : state_(std::make_shared<state>(loop, clock, handler, budget)) {}

caller_server::~caller_server() {
    boost::system::error_code ignored; // closing a closed acceptor has no effect
    state_->acceptor.close(ignored);
}

void caller_server::state::wait_for_connections() {
    acceptor.async_wait(boost::asio::socket_base::wait_read,
                        [self = shared_from_this()](const boost::system::error_code& error) {
                            if (!error && self->acceptor.is_open()) {
                                self->accept_connections();
                            }
                        });
}

void caller_server::state::accept_connections() {
    boost::system::error_code error;
    for (std::size_t i = 0; i < max_accepts_per_turn && !error; ++i) {
        accept_one(error);
    }
    if (!error || error == boost::asio::error::would_block) {
        can_accept = true;
        wait_for_connections();
        return;
    }
    can_accept = false;
    handler.on_accept_failed(error);
    accept_timer.expires_after(accept_retry_interval);
    accept_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& cancelled) {
            if (!cancelled && self->acceptor.is_open()) {
                self->accept_connections();
            }
        });
}

void caller_server::state::accept_one(boost::system::error_code& error) {
    boost::asio::ip::tcp::socket socket(acceptor.get_executor());
    acceptor.accept(socket, error);
    if (error == boost::asio::error::connection_aborted) {
        error.clear(); // the caller has left already
    } else if (!error) {
        admit(std::make_shared<connection>(std::move(socket), shared_from_this()));
    }
}

void caller_server::state::admit(const std::shared_ptr<connection>& accepted) {
    if (open_connections > max_connections && close_oldest_unused()) {
        handler.on_connection_limit(connection_limit_action::idle_closed);
    }
    if (open_connections <= max_connections) {
        accepted->start();
    } else if (open_connections <= max_connections + max_connections / refusing_divisor + 1) {
        accepted->start_refusing();
    } else {
        handler.on_connection_limit(connection_limit_action::closed);
    }
}

bool caller_server::state::close_oldest_unused() {
    std::size_t examined = 0;
    for (const auto& [number, oldest] : replaceable) {
        if (oldest->make_room()) {
            return true; // it has left the map
        }
        if (++examined == max_examined_connections) {
            break;
        }
    }
    return false;
}

void caller_server::listen(const boost::asio::ip::tcp::endpoint& address) {
    auto& acceptor = state_->acceptor;
    acceptor.open(address.protocol());
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen(accept_backlog);
    acceptor.non_blocking(true);
    state_->wait_for_connections();
}

std::uint16_t caller_server::bound_port() const {
    return state_->acceptor.local_endpoint().port();
}

void caller_server::set_max_connections(std::size_t max_connections) {
    CAMPHOR_PRECONDITION(max_connections > 0);
    state_->max_connections = max_connections;
}

void caller_server::set_limits(const caller_limits& limits) {
    state_->limits = limits;
}

void caller_server::begin_drain() {
    state_->is_draining = true;
    const std::vector<connection*> all(state_->connections.begin(), state_->connections.end());
    for (auto* each : all) {
        each->close_if_idle();
    }
}

void caller_server::stop_accepting() {
    auto& acceptor = state_->acceptor;
    if (!acceptor.is_open()) {
        return;
    }
    // Closing the acceptor would reset the connections that wait in its queue.
    boost::system::error_code error;
    while (!error) {
        state_->accept_one(error);
    }
    acceptor.close(error);
    state_->accept_timer.cancel();
}

void caller_server::reject_incomplete_requests() {
    const std::vector<connection*> all(state_->connections.begin(), state_->connections.end());
    for (auto* each : all) {
        each->reject_incomplete_request();
    }
}

bool caller_server::can_accept() const {
    return state_->can_accept;
}

std::size_t caller_server::connections() const {
    return state_->open_connections;
}

std::size_t caller_server::busy_connections() const {
    const auto& all = state_->connections;
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](connection* each) { return !each->is_idle(); }));
}

std::size_t caller_server::open_exchanges() const {
    return state_->open_exchanges;
}

} // namespace camphorgrade::edge
