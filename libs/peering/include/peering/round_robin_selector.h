#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace camphorgrade::peering {

/**
 * Selects a bounded number of addresses from a list in round-robin order, so that a message stays
 * small in a fleet of any size and every address is sent in turn. Deterministic. Not thread safe.
 */
class round_robin_selector {
public:
    /** Precondition: `max_selected` > 0. */
    explicit round_robin_selector(std::size_t max_selected);

    /** Returns the next addresses of `all`: `max_selected` of them, or all if there are fewer. */
    std::vector<std::string> next(const std::vector<std::string>& all);

private:
    std::size_t max_selected_;
    std::size_t position_ = 0;
};

} // namespace camphorgrade::peering
