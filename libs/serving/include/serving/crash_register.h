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

/** Records that a request was running when the connection to its backend server broke. A value
    type. */
struct crash_record {
    std::uint64_t fingerprint = 0; /**< The request's crash_register::fingerprint(). */
    std::string backend_id;
    std::uint64_t backend_started_at_ms = 0; /**< Start of the backend server process, Unix
                                                  milliseconds. */

    friend bool operator==(const crash_record&, const crash_record&) = default;
    friend auto operator<=>(const crash_record&, const crash_record&) = default;
};

/** Limits of a crash_register. */
struct crash_register_settings {
    std::size_t quarantine_threshold = 3; /**< Number of crashed processes after which a request is
                                             not run again. */
    duration retention{300'000};          /**< Time for which a record counts, ms. */
    /** When there are more records than this, all records of the request that has the oldest one
        stop counting. */
    std::size_t max_records = 10'000;

    friend bool operator==(const crash_register_settings&,
                           const crash_register_settings&) = default;
};

/**
 * Records which requests were running when backend servers crashed, so that a request that
 * crashes every server that runs it is quarantined. Records are shared among gateways; adding one
 * again has no effect. Deterministic. Not thread safe.
 */
class crash_register {
public:
    explicit crash_register(crash_register_settings settings);

    /** Returns a hash of the parts of a request that stay the same when a caller sends it again. */
    static std::uint64_t fingerprint(std::string_view account, std::string_view target,
                                     std::string_view body) noexcept;

    /** Adds a record; returns false if it was known already. */
    bool add(const crash_record& record, time_point now);

    /** Whether at least `quarantine_threshold` processes have crashed within `retention` while
        running this request. */
    bool is_quarantined(std::uint64_t request_fingerprint, time_point now) const;

    /** Returns the newest records, at most `limit`, oldest first. */
    std::vector<crash_record> newest(std::size_t limit) const;

private:
    using process = std::pair<std::string, std::uint64_t>;

    crash_register_settings settings_;
    std::map<std::uint64_t, std::map<process, time_point>> by_fingerprint_;
    std::vector<std::pair<time_point, crash_record>> records_by_age_;
};

} // namespace camphorgrade::serving
