#pragma once

#include <edge/buffered_calls.h>
#include <kernel/clock.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace camphorgrade::entry {

/** Receives the body of a peer's response; nullopt when the call failed or its status isn't 200. */
using page_callback = std::function<void(const std::optional<std::string>&)>;

/**
 * Sends a GET request for `path` to a gateway. The IP address is that of `peer`, "ip:port"; `port`
 * is the TCP port on which every gateway serves its peers. `callback` runs once, from the event
 * loop, unless `calls` is destroyed before.
 */
void fetch_peer_page(edge::buffered_calls& calls, const std::string& peer, std::uint16_t port,
                     const char* path, duration timeout, page_callback callback);

} // namespace camphorgrade::entry
