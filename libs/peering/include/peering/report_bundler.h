#pragma once

#include <peering/peer_messages.h>

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace camphorgrade::peering {

/** Where a report that a relay hands on has come from. */
enum class report_origin : std::uint8_t {
    sender,      /**< From its sender: it goes to all data centres. */
    remote_relay /**< From a relay of another data centre: it stays in this one. */
};

/**
 * Gathers the reports that a relay hands on next: the newest of each sender and kind.
 * Deterministic. Not thread safe.
 */
class report_bundler {
public:
    /** A bundle holds one report, or several of together at most `max_bytes`. */
    explicit report_bundler(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /** A report replaces the one of its sender and kind. */
    void add(relayed_report report, report_origin origin);

    bool is_empty() const noexcept { return reports_.empty(); }

    /** What goes to the relays of other data centres. */
    std::vector<report_bundle> for_other_data_centres() const;

    /** What goes to the gateways of the own data centre: everything. */
    std::vector<report_bundle> for_own_data_centre() const;

    void clear() { reports_.clear(); }

private:
    struct gathered {
        relayed_report report;
        report_origin origin = report_origin::sender;
    };

    template <typename Predicate>
    std::vector<report_bundle> bundles(Predicate is_wanted, bool is_for_data_centre) const;

    std::size_t max_bytes_;
    std::map<std::pair<std::string, message_kind>, gathered> reports_;
};

} // namespace camphorgrade::peering
