#include <peering/round_robin_selector.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::peering {

round_robin_selector::round_robin_selector(std::size_t most) : most_(most) {
    CAMPHOR_PRECONDITION(most > 0);
}

std::vector<std::string> round_robin_selector::next(const std::vector<std::string>& all) {
    std::vector<std::string> out;
    const auto count = std::min(most_, all.size());
    out.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(all[at_++ % all.size()]);
    }
    return out;
}

} // namespace camphorgrade::peering
