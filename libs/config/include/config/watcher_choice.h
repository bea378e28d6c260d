#pragma once

#include <config/peer_view.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace camphorgrade::config {

/** How many processes of a data centre watch the key-value service for one topic. */
constexpr std::size_t watchers_per_data_centre = 2;

/**
 * Whether `self` is among the processes that watch `topic` for its data centre. Chosen by
 * rendezvous hashing, so that a change of the fleet moves few watches; processes with different
 * views may differ for a while, which only costs calls. A process that knows no peers watches
 * itself. Thread safe.
 */
bool is_watcher(const peer& self, std::string_view topic, const std::vector<peer>& peers);

} // namespace camphorgrade::config
