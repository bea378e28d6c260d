#include "soak_server.h"

#include "soak_connection.h"

#include <utility>

namespace camphorgrade::soak {

using boost::asio::ip::tcp;
using boost::system::error_code;

soak_server::soak_server(boost::asio::io_context& loop, std::uint64_t seed,
                         soak_server_handler& handler, response_ledger& responses)
    : random_(seed), handler_(handler), responses_(responses), acceptor_(loop) {}

void soak_server::listen(const tcp::endpoint& endpoint) {
    acceptor_.open(endpoint.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(endpoint);
    acceptor_.listen();
    accept();
}

void soak_server::reset_connections() {
    for (const auto& each : connections_) {
        if (const auto open = each.lock()) {
            open->reset();
        }
    }
    connections_.clear();
}

void soak_server::accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
        if (error) {
            return; // the server was destroyed
        }
        std::erase_if(connections_, [](const auto& each) { return each.expired(); });
        const auto accepted =
            std::make_shared<soak_connection>(std::move(socket), random_, handler_, responses_);
        connections_.push_back(accepted);
        accepted->read();
        accept();
    });
}

} // namespace camphorgrade::soak
