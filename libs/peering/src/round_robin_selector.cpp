#include <peering/round_robin_selector.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::peering {

round_robin_selector::round_robin_selector(std::size_t max_selected) : max_selected_(max_selected) {
    CAMPHOR_PRECONDITION(max_selected > 0);
}

std::vector<std::string> round_robin_selector::next(const std::vector<std::string>& all) {
    std::vector<std::string> selected;
    const auto count = std::min(max_selected_, all.size());
    selected.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        selected.push_back(all[position_++ % all.size()]);
    }
    return selected;
}

} // namespace camphorgrade::peering
