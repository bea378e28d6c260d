#include <serving/registration_book.h>

#include <algorithm>
#include <iterator>

namespace camphorgrade::serving {

registration_book::registration_book(registration_book_settings settings) : settings_(settings) {}

void registration_book::on_contact(bool reachable, time_point now) {
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

bool registration_book::is_out(time_point now) const {
    return !last_answer_ || (has_failed_ && now - *last_answer_ > settings_.outage);
}

bool registration_book::is_in_doubt(time_point now) const {
    return is_out(now) || (returned_ && now - *returned_ < settings_.return_time);
}

time_point registration_book::due(time_point now) const {
    return returned_ ? std::max(now, *returned_ + settings_.return_time) : now;
}

std::vector<std::string> registration_book::on_all(const std::vector<backend_server>& servers,
                                                   time_point now) {
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
registration_book::take_present(const std::vector<backend_server>& servers) {
    std::set<std::string> present;
    for (const auto& each : servers) {
        present.insert(each.id);
        missing_.erase(each.id);
    }
    std::vector<std::string> absent;
    std::set_difference(known_.begin(), known_.end(), present.begin(), present.end(),
                        std::back_inserter(absent));
    known_.merge(present);
    return absent;
}

void registration_book::on_relayed(const std::vector<backend_server>& servers, time_point now) {
    for (const auto& id : take_present(servers)) {
        missing_.try_emplace(id, now + settings_.return_time);
    }
}

std::vector<std::string>
registration_book::on_settled_peer(const std::vector<backend_server>& servers) {
    auto gone = take_present(servers);
    for (const auto& id : gone) {
        known_.erase(id);
        missing_.erase(id);
    }
    return gone;
}

bool registration_book::is_settled(time_point now) const {
    return first_answer_ && !is_in_doubt(now) && now - *first_answer_ >= settings_.return_time;
}

void registration_book::on_registration(const std::string& id) {
    known_.insert(id);
    missing_.erase(id);
}

bool registration_book::on_deregistration(const std::string& id, time_point now) {
    if (is_in_doubt(now)) {
        missing_.try_emplace(id, due(now));
        return false;
    }
    missing_.erase(id);
    return true;
}

std::vector<std::string> registration_book::expire(time_point now) {
    std::vector<std::string> gone;
    for (const auto& [id, when] : missing_) {
        if (when <= now) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        missing_.erase(id);
        known_.erase(id);
    }
    return gone;
}

} // namespace camphorgrade::serving
