#pragma once

#include <kernel/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace camphorgrade::serving {

/** A request was running when its backend server's connection broke. A value type. */
struct crash_record {
    std::uint64_t fingerprint = 0; /**< Of crash_register::fingerprint(). */
    std::string backend_id;
    std::uint64_t backend_started_at_ms = 0; /**< Of the process that broke. */

    friend bool operator==(const crash_record&, const crash_record&) = default;
    friend auto operator<=>(const crash_record&, const crash_record&) = default;
};

/** Bounds of a crash_register. */
struct crash_register_settings {
    std::size_t quarantine_threshold =
        3;                       /**< Broken processes after which a request isn't run again. */
    duration retention{300'000}; /**< How long a mark counts. */
    std::size_t max_records = 10'000; /**< The oldest go first. */

    friend bool operator==(const crash_register_settings&,
                           const crash_register_settings&) = default;
};

/**
 * Remembers which requests were running when backend servers broke, so that one that breaks each
 * server that runs it is stopped. Marks are shared among gateways; adding one again changes
 * nothing. Deterministic. Not thread safe.
 */
class crash_register {
public:
    explicit crash_register(crash_register_settings settings);

    /** Identifies a request by what a caller would send again. */
    static std::uint64_t fingerprint(std::string_view account, std::string_view target,
                                     std::string_view body) noexcept;

    /** False when it was known already. */
    bool add(const crash_record& mark, time_point now);

    bool is_quarantined(std::uint64_t content, time_point now) const;

    /** The newest marks, at most `most`. */
    std::vector<crash_record> newest(std::size_t most) const;

private:
    using process = std::pair<std::string, std::uint64_t>;

    crash_register_settings settings_;
    std::map<std::uint64_t, std::map<process, time_point>> by_content_;
    std::vector<std::pair<time_point, crash_record>> order_;
};

} // namespace camphorgrade::serving
