#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace camphorgrade::peering {

/**
 * Names a few of many addresses at a time, all of them in turn, so that a message stays small
 * however large the fleet is. Deterministic. Not thread safe.
 */
class round_robin_selector {
public:
    /** Precondition: `most` > 0. */
    explicit round_robin_selector(std::size_t most);

    /** The next at most `most` of `all`. */
    std::vector<std::string> next(const std::vector<std::string>& all);

private:
    std::size_t most_;
    std::size_t at_ = 0;
};

} // namespace camphorgrade::peering
