#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace camphorgrade {

/**
 * Descriptor of the connected socket with this peer and local port, or -1. Those in `others` are
 * known to be something else and are passed over.
 *
 * CivetWeb does not tell the descriptor of a connection, and without it neither a caller that
 * hangs up nor a reader that stalls can be noticed while an answer is awaited.
 */
int find_connected_socket(const std::string& peer_address, std::uint16_t peer_port,
                          std::uint16_t local_port, const std::set<int>& others);

/** Descriptor of the socket that listens on `local_port`, or -1. */
int find_listening_socket(std::uint16_t local_port);

} // namespace camphorgrade
