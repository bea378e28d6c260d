#pragma once

#include <cstddef>

namespace camphorgrade::entry {

/** How a gateway divides the descriptors that it may open. A value type. */
struct descriptor_shares {
    std::size_t caller_connections = 0; /**< Open connections of callers. */
    std::size_t idle_upstream = 0;      /**< Idle connections to servers, store and peers. */

    friend bool operator==(const descriptor_shares&, const descriptor_shares&) = default;
};

/** Divides `descriptors` so that each request of the callers can have a connection to a server. */
descriptor_shares share_descriptors(std::size_t descriptors) noexcept;

/** Descriptors that this process may open: the lower of `configured`, if it isn't 0, the limit of
    the system, and 65,536 where one of them is missing. Thread safe. */
std::size_t available_descriptors(std::size_t configured) noexcept;

} // namespace camphorgrade::entry
