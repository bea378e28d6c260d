#pragma once

#include "loop_thread.h"
#include "raw_socket.h"

#include <edge/caller_server.h>

#include <cstdint>
#include <memory>
#include <string>

namespace camphorgrade::testing {

using exchange_ptr = std::shared_ptr<edge::caller_exchange>;

inline const std::string request_one = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";

/** Answers with a body that names the request's target. */
inline void answer_whole(const exchange_ptr& exchange) {
    exchange->answer({200, {}}, "whole " + exchange->request().target);
}

/** A caller_server on a thread of its own, with a handler of the test. */
template <typename Handler>
struct caller_server_fixture {
    caller_server_fixture() : server(thread, thread.loop, clock, handler) {
        thread.run([&] { server->listen({boost::asio::ip::make_address("127.0.0.1"), 0}); });
        port = server->bound_port();
    }

    raw_socket connect() { return raw_socket::connect_to(client_loop, port); }

    monotonic_clock clock;
    Handler handler;
    boost::asio::io_context client_loop;
    std::uint16_t port = 0; /**< Also after the listener has closed. */
    loop_thread thread;
    on_loop<edge::caller_server> server;
};

} // namespace camphorgrade::testing
