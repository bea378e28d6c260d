#include <peering/report_bundler.h>

namespace camphorgrade::peering {

void report_bundler::add(relayed_report report, report_origin origin) {
    const auto key = std::pair(report.sender, report.kind);
    reports_[key] = {std::move(report), origin};
}

template <typename Predicate>
std::vector<report_bundle> report_bundler::bundles(Predicate is_wanted,
                                                   bool is_for_data_centre) const {
    std::vector<report_bundle> out;
    std::size_t bytes = 0;
    for (const auto& [key, each] : reports_) {
        if (!is_wanted(each)) {
            continue;
        }
        const auto size = each.report.datagram.size() + each.report.sender.size();
        if (out.empty() || bytes + size > max_bytes_) {
            out.push_back({{}, is_for_data_centre});
            bytes = 0;
        }
        out.back().reports.push_back(each.report);
        bytes += size;
    }
    return out;
}

std::vector<report_bundle> report_bundler::for_other_data_centres() const {
    return bundles(
        [](const collected_report& each) { return each.origin == report_origin::sender; }, true);
}

std::vector<report_bundle> report_bundler::for_own_data_centre() const {
    return bundles([](const collected_report&) { return true; }, false);
}

} // namespace camphorgrade::peering
