#include <serving/dispatcher.h>

#include <iterator>
#include <set>
#include <string>

namespace camphorgrade::serving {

bool dispatcher::is_held(request& entry, time_point now) {
    if (!parts_.retry_after(entry.metadata.prompt_parts, now)) {
        return false;
    }
    entry.is_part_trial = parts_.try_trial(entry.metadata.prompt_parts, now);
    return !entry.is_part_trial;
}

void dispatcher::record_crash(const request& entry, time_point now) {
    if (!entry.has_first_byte && !entry.has_invalid_head) {
        parts_.on_crash(entry.metadata.prompt_parts, entry.sent_to, now);
    }
}

void dispatcher::on_parts_report(const std::string& peer, const crashing_parts_report& report,
                                 time_point now) {
    parts_.on_report(peer, report, now);
    update_parts(now);
}

void dispatcher::update_parts(time_point now) {
    if (parts_.update(now)) {
        end_held_requests(now);
    }
}

void dispatcher::end_held_requests(time_point now) {
    for (auto& [id, each] : requests_) {
        const bool is_open =
            each.state == phase::waiting || (each.state == phase::sent && !each.has_first_byte);
        const auto retry_after = is_open && !each.is_part_trial
                                     ? parts_.retry_after(each.metadata.prompt_parts, now)
                                     : std::nullopt;
        if (retry_after) {
            const bool was_sent = each.state == phase::sent;
            end(id, each, was_sent ? end_reason::invalid_response : end_reason::quarantined,
                *retry_after);
        }
    }
}

void dispatcher::set_gateways(const std::string& own, const std::vector<std::string>& live,
                              const std::vector<std::string>& others, time_point now) {
    retries_.set_gateways(live, others, now);
    permits_.set_gateways(own, live, now);
    origins_.set_gateways(own, live);
    std::set<std::string> gateways(live.begin(), live.end());
    const auto self = gateways.insert(own).first;
    parts_.set_rank(static_cast<std::size_t>(std::distance(gateways.begin(), self)),
                    gateways.size());
}

} // namespace camphorgrade::serving
