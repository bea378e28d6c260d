#include <peering/name_rotation.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::peering {

name_rotation::name_rotation(std::size_t most) : most_(most) {
    CAMPHOR_PRECONDITION(most > 0);
}

std::vector<std::string> name_rotation::next(const std::vector<std::string>& all) {
    std::vector<std::string> out;
    const auto count = std::min(most_, all.size());
    out.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(all[at_++ % all.size()]);
    }
    return out;
}

} // namespace camphorgrade::peering
