#pragma once

#include <peering/peer_messages.h>

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace camphorgrade::peering {

/** Where a relay received a report from. */
enum class report_origin : std::uint8_t {
    sender,      /**< From the sender itself; forwarded to all data centres. */
    remote_relay /**< From a relay of another data centre; forwarded in this one only. */
};

/**
 * Collects the reports that a relay forwards next, keeping the newest of each sender and kind.
 * Deterministic. Not thread safe.
 */
class report_bundler {
public:
    /** A bundle holds at most `max_bytes`, unless its only report is larger. */
    explicit report_bundler(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /** Adds a report, replacing an earlier one of the same sender and kind. */
    void add(relayed_report report, report_origin origin);

    bool is_empty() const noexcept { return reports_.empty(); }

    /** Bundles for the relays of other data centres. */
    std::vector<report_bundle> for_other_data_centres() const;

    /** Bundles for the gateways of the own data centre: all collected reports. */
    std::vector<report_bundle> for_own_data_centre() const;

    void clear() { reports_.clear(); }

private:
    struct collected_report {
        relayed_report report;
        report_origin origin = report_origin::sender;
    };

    template <typename Predicate>
    std::vector<report_bundle> bundles(Predicate is_wanted, bool is_for_data_centre) const;

    std::size_t max_bytes_;
    std::map<std::pair<std::string, message_kind>, collected_report> reports_;
};

} // namespace camphorgrade::peering
