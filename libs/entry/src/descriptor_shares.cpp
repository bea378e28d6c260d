#include "descriptor_shares.h"

#include <sys/resource.h>

#include <algorithm>

namespace camphorgrade::entry {

namespace {

// Kept for files, listeners, and the connections of the store, peers and operators.
constexpr std::size_t reserved_descriptors = 300;
// With few descriptors, at most this part of them is reserved.
constexpr std::size_t max_reserved_divisor = 3;
// Taken as the limit where neither the settings nor the system set one.
constexpr std::size_t default_descriptors = 65'536;
constexpr double caller_share = 0.4;        // and as much for their requests at servers
constexpr double idle_upstream_share = 0.1; // the rest is for requests that are being refused

std::size_t share_of(std::size_t total, double share) noexcept {
    return std::max<std::size_t>(1, static_cast<std::size_t>(static_cast<double>(total) * share));
}

} // namespace

descriptor_shares share_descriptors(std::size_t descriptors) noexcept {
    const auto reserved = std::min(reserved_descriptors, descriptors / max_reserved_divisor);
    const auto usable = descriptors - reserved;
    return {share_of(usable, caller_share), share_of(usable, idle_upstream_share)};
}

std::size_t available_descriptors(std::size_t configured) noexcept {
    rlimit limit{};
    const bool is_limited =
        ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
    const auto allowed =
        is_limited ? static_cast<std::size_t>(limit.rlim_cur) : default_descriptors;
    return std::min(configured == 0 ? default_descriptors : configured, allowed);
}

} // namespace camphorgrade::entry
