#pragma once

#include <edge/buffered_calls.h>
#include <kernel/clock.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace camphorgrade::entry {

/** Takes the body of a peer's page; nullopt when the peer did not answer with one. */
using page_callback = std::function<void(const std::optional<std::string>&)>;

/**
 * Asks the peer "ip:port" for a page at the port on which gateways serve each other. `take` runs
 * once, from the event loop, unless `calls` is destroyed before.
 */
void fetch_peer_page(edge::buffered_calls& calls, const std::string& peer, std::uint16_t port,
                     const char* path, duration timeout, page_callback take);

} // namespace camphorgrade::entry
