#pragma once

#include <edge/upstream_pool.h>

#include <cstddef>
#include <map>

namespace camphorgrade::edge {

/**
 * Remembers the servers whose latest responses include one with neither a length nor chunks. Not
 * thread safe.
 */
class unframed_servers {
public:
    /** A server is remembered for `period`; those that were added first are forgotten when there
        are more than `max_servers`. Precondition: max_servers > 0. */
    unframed_servers(duration period, std::size_t max_servers);

    /** Records such a response. */
    void add(const upstream_address& server, time_point now);

    /** Whether `server` sent such a response within the period. */
    bool contains(const upstream_address& server, time_point now) const;

private:
    duration period_;
    std::size_t max_servers_;
    std::map<upstream_address, time_point> latest_;
};

} // namespace camphorgrade::edge
