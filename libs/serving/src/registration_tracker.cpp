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
    if (last_answer_ && is_out(now)) {
        returned_ = now;
    }
    first_answer_ = first_answer_.value_or(now);
    has_failed_ = false;
    last_answer_ = now;
}

bool registration_tracker::is_out(time_point now) const {
    return !last_answer_ || (has_failed_ && now - *last_answer_ > settings_.outage_threshold);
}

bool registration_tracker::is_in_doubt(time_point now) const {
    return is_out(now) || (returned_ && now - *returned_ < settings_.reregistration_time);
}

time_point registration_tracker::due(time_point now) const {
    return returned_ ? std::max(now, *returned_ + settings_.reregistration_time) : now;
}

std::vector<std::string>
registration_tracker::on_full_list(const std::vector<backend_server>& servers, time_point now) {
    std::vector<std::string> gone;
    for (const auto& id : take_present(servers)) {
        if (on_deregistration(id, now)) {
            gone.push_back(id);
            known_.erase(id);
        }
    }
    return gone;
}

std::vector<std::string>
registration_tracker::take_present(const std::vector<backend_server>& servers) {
    std::set<std::string> present;
    for (const auto& each : servers) {
        present.insert(each.id);
        on_registration(each);
    }
    std::vector<std::string> absent;
    for (const auto& [id, born] : known_) {
        if (present.count(id) == 0) {
            absent.push_back(id);
        }
    }
    return absent;
}

void registration_tracker::note_gone(const std::string& id, time_point now) {
    std::erase_if(gone_, [&](const auto& each) {
        return now - each.second.since >= settings_.removed_retention;
    });
    if (const auto found = known_.find(id); found != known_.end()) {
        gone_[id] = {found->second, now};
    }
    missing_.erase(id);
}

void registration_tracker::on_peer_list(const std::vector<backend_server>& servers,
                                        time_point now) {
    for (const auto& id : take_present(servers)) {
        missing_.try_emplace(id, now + settings_.reregistration_time);
    }
}

std::vector<std::string>
registration_tracker::on_settled_peer_list(const std::vector<backend_server>& servers,
                                           time_point now) {
    auto gone = take_present(servers);
    for (const auto& id : gone) {
        note_gone(id, now);
        known_.erase(id);
    }
    has_settled_list_ = true;
    return gone;
}

bool registration_tracker::on_awaited_by_peer(const backend_server& server, time_point now) {
    const auto gone = gone_.find(server.id);
    if (gone != gone_.end() && gone->second.born >= server.started_at_ms) {
        return false;
    }
    const auto known = known_.find(server.id);
    const bool is_known = known != known_.end() && known->second >= server.started_at_ms;
    if (!is_known) {
        if (has_settled_list_) {
            return false;
        }
        known_[server.id] = server.started_at_ms;
        missing_.try_emplace(server.id, now + settings_.reregistration_time);
    }
    return true;
}

std::vector<std::string> registration_tracker::awaited() const {
    std::vector<std::string> out;
    std::transform(missing_.begin(), missing_.end(), std::back_inserter(out),
                   [](const auto& each) { return each.first; });
    return out;
}

bool registration_tracker::is_settled(time_point now) const {
    return first_answer_ && !is_in_doubt(now) &&
           now - *first_answer_ >= settings_.reregistration_time;
}

void registration_tracker::on_registration(const backend_server& server) {
    known_[server.id] = server.started_at_ms;
    missing_.erase(server.id);
    gone_.erase(server.id);
}

bool registration_tracker::on_deregistration(const std::string& id, time_point now) {
    if (is_in_doubt(now)) {
        missing_.try_emplace(id, due(now));
        return false;
    }
    note_gone(id, now);
    return true;
}

std::vector<std::string> registration_tracker::expire(time_point now) {
    std::vector<std::string> gone;
    for (const auto& [id, when] : missing_) {
        if (when <= now) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        note_gone(id, now);
        known_.erase(id);
    }
    return gone;
}

} // namespace camphorgrade::serving
