#pragma once

#include <kernel/ids.h>

#include <string>
#include <vector>

namespace camphorgrade::config {

/** Another process of the fleet, or this one. A value type. */
struct peer {
    node_id node;
    std::string data_centre;

    friend bool operator==(const peer&, const peer&) = default;
};

/** What a process knows of the live fleet. May lag; implemented over the membership service. */
class peer_view {
public:
    virtual ~peer_view() = default;

    /** All processes that are thought to live, this one among them once it has registered. */
    virtual std::vector<peer> live_peers() const = 0;
};

} // namespace camphorgrade::config
