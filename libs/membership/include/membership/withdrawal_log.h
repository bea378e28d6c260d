#pragma once

#include <kernel/clock.h>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorgrade::membership {

/**
 * The withdrawn keys that a node knows of: a set that only grows, kept in the order of arrival.
 *
 * Each item is opaque here (an identifier of a key, never the key). Positions are this node's own;
 * they last as long as its incarnation. Implemented by the service that checks keys. Called from
 * the kernel's thread only.
 *
 * @code
 * const std::vector<std::string> news = log.since(seen);
 * seen += news.size();
 * @endcode
 */
class withdrawal_log {
public:
    virtual ~withdrawal_log() = default;

    /** Number of withdrawals known. */
    virtual std::uint64_t size() const = 0;

    /** Digest of the set, the same on any two nodes that hold the same set. */
    virtual std::uint64_t digest() const = 0;

    /** Items from `position` on, at most `limit`; empty when `position` is size() or more. */
    virtual std::vector<std::string> since(std::uint64_t position, std::size_t limit) const = 0;

    /** Adds those items that are not yet known; in force from this call on. */
    virtual void merge(const std::vector<std::string>& items, time_point now) = 0;
};

} // namespace camphorgrade::membership
