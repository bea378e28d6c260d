#pragma once

#include <kernel/clock.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace camphorgrade::serving {

/**
 * Remembers which gateways were named within a time, so that one that can't be heard for a moment
 * still has its share of what all gateways divide. Deterministic. Not thread safe.
 */
class recent_gateways {
public:
    explicit recent_gateways(duration memory) : memory_(memory) {}

    /** Adds gateways that are known now. */
    void add(const std::vector<std::string>& addresses, time_point now);

    /** Forgets the gateways that were last added too long ago. */
    void remove_expired(time_point now);

    /** Number of gateways that are remembered. */
    std::size_t size() const noexcept { return added_at_.size(); }

private:
    duration memory_;
    std::map<std::string, time_point> added_at_;
};

} // namespace camphorgrade::serving
