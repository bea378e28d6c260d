#pragma once

#include <string>

namespace camphorgrade {

/** True when `range_end` asks for every key from the first one on. */
inline bool is_open_ended(const std::string& range_end) {
    return range_end == std::string(1, '\0');
}

/** True when `candidate` is `key`, or in [key, range_end) when `range_end` is not empty. */
inline bool is_in_interval(const std::string& candidate, const std::string& key,
                           const std::string& range_end) {
    if (range_end.empty()) {
        return candidate == key;
    }
    return candidate >= key && (is_open_ended(range_end) || candidate < range_end);
}

} // namespace camphorgrade
