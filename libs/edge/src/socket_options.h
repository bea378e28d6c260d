#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace camphorgrade::edge {

/**
 * Sends small segments at once, and finds a silent peer within a few seconds: by keep-alive probes
 * while nothing is sent, by a timeout of unacknowledged bytes while something is.
 */
void tune(boost::asio::ip::tcp::socket& socket);

} // namespace camphorgrade::edge
