#include <kernel/kv.h>

namespace camphorgrade {

std::string kv_prefix_end(const std::string& prefix) {
    std::string end = prefix;
    while (!end.empty()) {
        const auto last = static_cast<unsigned char>(end.back());
        if (last < 0xffU) {
            end.back() = static_cast<char>(last + 1U);
            return end;
        }
        end.pop_back();
    }
    return std::string(1, '\0');
}

} // namespace camphorgrade
