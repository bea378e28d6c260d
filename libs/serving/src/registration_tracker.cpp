#include <serving/registration_tracker.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace camphorgrade::serving {

registration_tracker::registration_tracker(registration_tracker_settings settings)
    : settings_(settings) {}

void registration_tracker::on_contact(bool reachable, time_point now) {
    if (!reachable) {
        has_failed_ = true;
        return;
    }
    if (last_response_ && is_store_out(now)) {
        outage_end_ = now;
    }
    first_response_ = first_response_.value_or(now);
    has_failed_ = false;
    last_response_ = now;
}

void registration_tracker::on_store_restored(time_point now) {
    outage_end_ = now;
    restored_at_ = now;
}

bool registration_tracker::is_store_out(time_point now) const {
    return !last_response_ || (has_failed_ && now - *last_response_ > settings_.outage_threshold);
}

bool registration_tracker::may_have_lapsed(time_point now) const {
    return is_store_out(now) || (outage_end_ && now - *outage_end_ < settings_.reregistration_time);
}

time_point registration_tracker::reregistration_deadline(time_point now) const {
    return outage_end_ ? std::max(now, *outage_end_ + settings_.reregistration_time) : now;
}

std::vector<std::string>
registration_tracker::on_full_list(const std::vector<backend_server>& servers, time_point now) {
    std::vector<std::string> removed;
    for (const auto& id : record_registered(servers, now)) {
        if (on_deregistration(id, now)) {
            removed.push_back(id);
            known_.erase(id);
        }
    }
    return removed;
}

std::vector<std::string>
registration_tracker::record_registered(const std::vector<backend_server>& servers,
                                        time_point now) {
    std::set<std::string> registered;
    for (const auto& each : servers) {
        registered.insert(each.id);
        on_registration(each, now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, started_at_ms] : known_) {
        if (registered.count(id) == 0) {
            missing.push_back(id);
        }
    }
    return missing;
}

void registration_tracker::mark_removed(const std::string& id, time_point now) {
    std::erase_if(removed_, [&](const auto& each) {
        return now - each.second.removed_at >= settings_.removed_retention;
    });
    if (const auto found = known_.find(id); found != known_.end()) {
        removed_[id] = {found->second, now};
    }
    awaited_.erase(id);
}

void registration_tracker::on_peer_list(const std::vector<backend_server>& servers,
                                        time_point now) {
    for (const auto& id : record_registered(servers, now)) {
        awaited_.try_emplace(id, now + settings_.reregistration_time);
    }
}

std::vector<std::string>
registration_tracker::on_settled_peer_list(const std::vector<backend_server>& servers,
                                           time_point now) {
    auto removed = record_registered(servers, now);
    for (const auto& id : removed) {
        mark_removed(id, now);
        known_.erase(id);
    }
    has_settled_list_ = true;
    return removed;
}

bool registration_tracker::on_awaited_by_peer(const backend_server& server, time_point now) {
    if (!is_valid(server)) {
        return false;
    }
    const auto known = known_.find(server.id);
    const bool is_known = known != known_.end() && known->second >= server.started_at_ms;
    if (!is_known) {
        if (has_settled_list_) {
            return false;
        }
        known_[server.id] = server.started_at_ms;
        awaited_.try_emplace(server.id, now + settings_.reregistration_time);
    }
    return true;
}

std::vector<std::string> registration_tracker::awaited() const {
    std::vector<std::string> out;
    std::transform(awaited_.begin(), awaited_.end(), std::back_inserter(out),
                   [](const auto& each) { return each.first; });
    return out;
}

bool registration_tracker::is_settled(time_point now) const {
    return first_response_ && !may_have_lapsed(now) &&
           now - *first_response_ >= settings_.reregistration_time;
}

bool registration_tracker::is_valid(const backend_server& server) const {
    const auto removed = removed_.find(server.id);
    return removed == removed_.end() || removed->second.started_at_ms < server.started_at_ms;
}

bool registration_tracker::on_registration(const backend_server& server, time_point now) {
    const bool may_be_outdated = restored_at_ && now - *restored_at_ < settings_.restoration_time;
    if (may_be_outdated && !is_valid(server)) {
        return false;
    }
    known_[server.id] = server.started_at_ms;
    awaited_.erase(server.id);
    removed_.erase(server.id);
    return true;
}

bool registration_tracker::on_deregistration(const std::string& id, time_point now) {
    if (may_have_lapsed(now)) {
        awaited_.try_emplace(id, reregistration_deadline(now));
        return false;
    }
    mark_removed(id, now);
    return true;
}

std::vector<std::string> registration_tracker::expire(time_point now) {
    std::vector<std::string> removed;
    for (const auto& [id, deadline] : awaited_) {
        if (deadline <= now) {
            removed.push_back(id);
        }
    }
    for (const auto& id : removed) {
        mark_removed(id, now);
        known_.erase(id);
    }
    return removed;
}

} // namespace camphorgrade::serving
