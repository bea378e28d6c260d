#include <serving/store_contacts.h>

#include <algorithm>

namespace camphorgrade::serving {

void store_contacts::on_peer(const std::string& peer, duration store_age, time_point now) {
    std::erase_if(answered_,
                  [&](const auto& each) { return !settings_.is_in_contact(now - each.second); });
    if (settings_.is_in_contact(store_age)) {
        answered_[peer] = now - store_age;
    }
}

std::optional<std::string> store_contacts::freshest_peer(time_point now) const {
    const auto newest =
        std::max_element(answered_.begin(), answered_.end(),
                         [](const auto& a, const auto& b) { return a.second < b.second; });
    const bool is_known =
        newest != answered_.end() && settings_.is_in_contact(now - newest->second);
    return is_known ? std::optional(newest->first) : std::nullopt;
}

} // namespace camphorgrade::serving
