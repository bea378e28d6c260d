#include <serving/crash_register.h>

#include <algorithm>

namespace camphorgrade::serving {

namespace {

constexpr std::uint64_t fnv_offset = 14'695'981'039'346'656'037ULL;
constexpr std::uint64_t fnv_prime = 1'099'511'628'211ULL;

std::uint64_t add_bytes(std::uint64_t hash, std::string_view bytes) noexcept {
    for (const char each : bytes) {
        hash = (hash ^ static_cast<unsigned char>(each)) * fnv_prime;
    }
    return (hash ^ 0xffU) * fnv_prime; // separates one field from the next
}

} // namespace

crash_register::crash_register(crash_register_settings settings) : settings_(settings) {}

std::uint64_t crash_register::fingerprint(std::string_view account, std::string_view target,
                                          std::string_view body) noexcept {
    return add_bytes(add_bytes(add_bytes(fnv_offset, account), target), body);
}

bool crash_register::add(const crash_record& mark, time_point now) {
    auto& marks = by_content_[mark.fingerprint];
    if (!marks.emplace(process{mark.backend_id, mark.backend_started_at_ms}, now).second) {
        return false;
    }
    order_.emplace_back(now, mark);
    if (order_.size() > settings_.max_records) {
        by_content_.erase(order_.front().second.fingerprint);
        order_.erase(order_.begin());
    }
    return true;
}

bool crash_register::is_quarantined(std::uint64_t content, time_point now) const {
    const auto found = by_content_.find(content);
    if (found == by_content_.end()) {
        return false;
    }
    const auto counted =
        std::count_if(found->second.begin(), found->second.end(),
                      [&](const auto& each) { return now - each.second < settings_.retention; });
    return static_cast<std::size_t>(counted) >= settings_.quarantine_threshold;
}

std::vector<crash_record> crash_register::newest(std::size_t most) const {
    std::vector<crash_record> out;
    const auto count = std::min(most, order_.size());
    for (auto at = order_.end() - static_cast<std::ptrdiff_t>(count); at != order_.end(); ++at) {
        out.push_back(at->second);
    }
    return out;
}

} // namespace camphorgrade::serving
