#pragma once

#include "response_ledger.h"
#include "response_plan.h"

#include <edge/caller_exchange.h>
#include <kernel/random.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace camphorgrade::soak {

/** Handles the requests that a soak_server receives. Must outlive the server. */
class soak_server_handler {
public:
    soak_server_handler() = default;
    soak_server_handler(const soak_server_handler&) = delete;
    soak_server_handler& operator=(const soak_server_handler&) = delete;
    virtual ~soak_server_handler() = default;

    /** A request was received; without its body if `has_body` is false. */
    virtual void on_request(std::shared_ptr<edge::caller_exchange> exchange, bool has_body) = 0;

    /** The body of a request that was passed on without it. */
    virtual void on_late_body(const edge::caller_request& request) = 0;

    /** A request has invalid or ambiguous framing, or lacks a header. */
    virtual void on_invalid_request(const std::string& reason) = 0;

    /** The faults of the next response to `request`. */
    virtual response_faults faults_for(const edge::caller_request& request) const = 0;
};

class soak_connection;

/**
 * A small HTTP/1.1 server of its own, independent of the code under test, that checks the framing
 * of requests and writes responses with faults. Not thread safe.
 */
class soak_server {
public:
    soak_server(boost::asio::io_context& loop, std::uint64_t seed, soak_server_handler& handler,
                response_ledger& responses);

    void listen(const boost::asio::ip::tcp::endpoint& endpoint);

    /** Resets every open connection. */
    void reset_connections();

private:
    void accept();

    random_source random_;
    soak_server_handler& handler_;
    response_ledger& responses_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::vector<std::weak_ptr<soak_connection>> connections_;
};

} // namespace camphorgrade::soak
