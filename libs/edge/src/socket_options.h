#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace camphorgrade::edge {

/**
 * Disables Nagle's algorithm and sets timeouts that detect an unresponsive peer within a few
 * seconds: keep-alive probes on an idle connection, TCP_USER_TIMEOUT while bytes are
 * unacknowledged.
 */
void set_socket_options(boost::asio::ip::tcp::socket& socket);

} // namespace camphorgrade::edge
