#pragma once

#include "gateway_node.h"

namespace camphorgrade::entry {

/** Serves readiness checks for load balancers and metrics for operators. */
class gateway_node::operator_endpoints final : public edge::caller_handler {
public:
    operator_endpoints(boost::asio::io_context& loop, const clock& clock, gateway_node& node)
        : node_(node), server_(loop, clock, *this), metrics_server_(loop, clock, *this) {}

    void listen(const boost::asio::ip::tcp::endpoint& address) { server_.listen(address); }
    void listen_for_metrics(const boost::asio::ip::tcp::endpoint& address) {
        metrics_server_.listen(address);
    }

    void on_request(std::shared_ptr<edge::caller_exchange> exchange) override;
    void on_bad_request(int status) override { node_.on_bad_request(status); }

private:
    gateway_node& node_;
    edge::caller_server server_;
    edge::caller_server metrics_server_;
};

} // namespace camphorgrade::entry
