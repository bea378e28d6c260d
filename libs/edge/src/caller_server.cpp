#include "caller_connection.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace camphorgrade::edge {

namespace {

// Length of the accept queue, so that the operating system doesn't drop connections in a burst.
constexpr int accept_backlog = 1024;

} // namespace

caller_server::caller_server(boost::asio::io_context& loop, const clock& clock,
                             caller_handler& handler, buffer_budget* budget)
    : state_(std::make_shared<state>(loop, clock, handler, budget)) {}

caller_server::~caller_server() {
    boost::system::error_code ignored; // closing a closed acceptor has no effect
    state_->acceptor.close(ignored);
}

namespace {

/** Accepts connections until the acceptor is closed. */
template <typename Acceptor, typename OnAccepted, typename OnFailed>
void accept_next(Acceptor& acceptor, OnAccepted on_accepted, OnFailed on_failed) {
    acceptor.async_accept(
        [&acceptor, on_accepted, on_failed](const boost::system::error_code& error,
                                            boost::asio::ip::tcp::socket socket) {
            if (error == boost::asio::error::operation_aborted || !acceptor.is_open()) {
                return;
            }
            if (error) {
                on_failed(error);
            } else {
                on_accepted(std::move(socket));
            }
            accept_next(acceptor, on_accepted, on_failed);
        });
}

} // namespace

void caller_server::listen(const boost::asio::ip::tcp::endpoint& address) {
    auto& acceptor = state_->acceptor;
    acceptor.open(address.protocol());
    acceptor.set_option(boost::asio::socket_base::reuse_address(true));
    acceptor.bind(address);
    acceptor.listen(accept_backlog);
    accept_next(
        acceptor,
        [shared = state_](boost::asio::ip::tcp::socket socket) {
            std::make_shared<connection>(std::move(socket), shared)->start();
        },
        [shared = state_](const boost::system::error_code& error) {
            shared->handler.on_accept_failed(error);
        });
}

std::uint16_t caller_server::bound_port() const {
    return state_->acceptor.local_endpoint().port();
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
    acceptor.non_blocking(true, error);
    while (!error) {
        boost::asio::ip::tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket, error);
        if (!error) {
            std::make_shared<connection>(std::move(socket), state_)->start();
        }
    }
    acceptor.close(error);
}

void caller_server::reject_incomplete_requests() {
    const std::vector<connection*> all(state_->connections.begin(), state_->connections.end());
    for (auto* each : all) {
        each->reject_incomplete_request();
    }
}

std::size_t caller_server::connections() const {
    return state_->connections.size();
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
