#include <serving/store_contacts.h>

#include <algorithm>

namespace camphorgrade::serving {

void store_contacts::on_peer(const std::string& peer, duration store_age, time_point now) {
    std::erase_if(last_responses_,
                  [&](const auto& each) { return !settings_.is_in_contact(now - each.second); });
    if (settings_.is_in_contact(store_age)) {
        last_responses_[peer] = now - store_age;
    }
}

std::optional<std::string> store_contacts::freshest_peer(time_point now) const {
    const auto newest =
        std::max_element(last_responses_.begin(), last_responses_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    const bool has_contact =
        newest != last_responses_.end() && settings_.is_in_contact(now - newest->second);
    return has_contact ? std::optional(newest->first) : std::nullopt;
}

} // namespace camphorgrade::serving
