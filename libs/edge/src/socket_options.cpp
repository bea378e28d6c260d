#include "socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace camphorgrade::edge {

namespace {

// A peer that acknowledges nothing for three seconds is treated as disconnected.
constexpr int keepalive_idle_s = 1;
constexpr int keepalive_interval_s = 1;
constexpr int keepalive_probes = 2;
constexpr int unacknowledged_timeout_ms = 3'000;

/** Errors are ignored: without the option the socket works with the slower system timeouts. */
void set_tcp_option(int socket, int option, int value) {
    static_cast<void>(::setsockopt(socket, IPPROTO_TCP, option, &value, sizeof value));
}

} // namespace

void set_socket_options(boost::asio::ip::tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int native = socket.native_handle();
    set_tcp_option(native, TCP_KEEPIDLE, keepalive_idle_s);
    set_tcp_option(native, TCP_KEEPINTVL, keepalive_interval_s);
    set_tcp_option(native, TCP_KEEPCNT, keepalive_probes);
    set_tcp_option(native, TCP_USER_TIMEOUT, unacknowledged_timeout_ms);
}

} // namespace camphorgrade::edge
