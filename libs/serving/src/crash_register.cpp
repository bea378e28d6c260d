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
    return (hash ^ 0xffU) * fnv_prime; // separates adjacent fields
}

} // namespace

crash_register::crash_register(crash_register_settings settings) : settings_(settings) {}

std::uint64_t crash_register::fingerprint(std::string_view account, std::string_view target,
                                          std::string_view body) noexcept {
    return add_bytes(add_bytes(add_bytes(fnv_offset, account), target), body);
}

bool crash_register::add(const crash_record& record, time_point now) {
    auto& records = by_fingerprint_[record.fingerprint];
    if (!records.emplace(process{record.backend_id, record.backend_started_at_ms}, now).second) {
        return false;
    }
    records_by_age_.emplace_back(now, record);
    if (records_by_age_.size() > settings_.max_records) {
        by_fingerprint_.erase(records_by_age_.front().second.fingerprint);
        records_by_age_.erase(records_by_age_.begin());
    }
    return true;
}

bool crash_register::is_quarantined(std::uint64_t request_fingerprint, time_point now) const {
    const auto found = by_fingerprint_.find(request_fingerprint);
    if (found == by_fingerprint_.end()) {
        return false;
    }
    const auto counted =
        std::count_if(found->second.begin(), found->second.end(),
                      [&](const auto& each) { return now - each.second < settings_.retention; });
    return static_cast<std::size_t>(counted) >= settings_.quarantine_threshold;
}

std::vector<crash_record> crash_register::newest(std::size_t limit) const {
    std::vector<crash_record> records;
    const auto count = std::min(limit, records_by_age_.size());
    for (auto at = records_by_age_.end() - static_cast<std::ptrdiff_t>(count);
         at != records_by_age_.end(); ++at) {
        records.push_back(at->second);
    }
    return records;
}

} // namespace camphorgrade::serving
