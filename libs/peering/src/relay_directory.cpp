#include <peering/relay_directory.h>

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorgrade::peering {

relay_directory::relay_directory(std::string own, peer_attributes attributes,
                                 relay_directory_settings settings)
    : own_address_(std::move(own)), settings_(settings),
      bootstrap_selector_(settings.max_bootstrap_peers) {
    auto& self = gateways_[own_address_];
    self.attributes = std::move(attributes);
    self.rank = XXH64(own_address_.data(), own_address_.size(), 0);
}

void relay_directory::on_gateway_seen(const std::string& address, const peer_attributes& attributes,
                                      bool is_direct, time_point now) {
    if (address == own_address_) {
        return;
    }
    auto [found, is_new] = gateways_.try_emplace(address);
    auto& known = found->second;
    if (is_new) {
        known.rank = XXH64(address.data(), address.size(), 0);
    }
    if (known.attributes != attributes) {
        known.attributes = attributes;
    }
    known.last_seen = now;
    if (is_direct) {
        known.last_seen_directly = now;
    }
}

void relay_directory::remove_expired(time_point now) {
    std::erase_if(gateways_, [&](const candidate& each) {
        return each.first != own_address_ && now - each.second.last_seen >= settings_.peer_expiry;
    });
}

bool relay_directory::is_live(const gateway& known, time_point now) const {
    const bool is_self = &known == &gateways_.at(own_address_);
    return is_self || now - known.last_seen < settings_.peer_liveness_timeout;
}

template <typename Predicate>
std::vector<std::string> relay_directory::select_best(Predicate is_wanted, time_point now) const {
    std::vector<const candidate*> found;
    for (const auto& each : gateways_) {
        if (is_live(each.second, now) && is_wanted(each.second)) {
            found.push_back(&each);
        }
    }
    const auto count = std::min(settings_.relays_per_data_centre, found.size());
    const auto is_preferred = [](const candidate* a, const candidate* b) {
        return std::tie(b->second.attributes.capacity_millicores, a->second.rank, a->first) <
               std::tie(a->second.attributes.capacity_millicores, b->second.rank, b->first);
    };
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(count),
                      found.end(), is_preferred);
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(found[i]->first);
    }
    return out;
}

std::vector<std::string> relay_directory::choose_relays(const std::string& data_centre,
                                                        time_point now) const {
    auto chosen = select_best(
        [&](const gateway& each) {
            return each.attributes.data_centre == data_centre && now >= each.excluded_until;
        },
        now);
    if (chosen.empty()) {
        chosen = select_best(
            [&](const gateway& each) { return each.attributes.data_centre == data_centre; }, now);
    }
    return chosen;
}

bool relay_directory::record_use(gateway& known, time_point now) const {
    if (&known == &gateways_.at(own_address_)) {
        return true;
    }
    if (now - known.last_used >= settings_.relay_timeout) {
        known.in_use_since = now;
    }
    known.last_used = now;
    const bool is_responsive = now - known.in_use_since < settings_.relay_timeout ||
                               now - known.last_seen_directly < settings_.relay_timeout;
    if (!is_responsive) {
        known.excluded_until = now + settings_.relay_cooldown;
    }
    return is_responsive;
}

std::vector<std::string> relay_directory::select_relays(const std::string& data_centre,
                                                        time_point now) {
    auto chosen = choose_relays(data_centre, now);
    bool is_any_silent = false;
    for (const auto& each : chosen) {
        is_any_silent = !record_use(gateways_.at(each), now) || is_any_silent;
    }
    return is_any_silent ? choose_relays(data_centre, now) : chosen;
}

std::vector<std::string> relay_directory::select_remote_relays(time_point now) {
    const auto local = choose_relays(gateways_.at(own_address_).attributes.data_centre, now);
    const auto self = std::find(local.begin(), local.end(), own_address_);
    std::vector<std::string> out;
    for (const auto& each : other_data_centres(now)) {
        if (self == local.end()) {
            const auto relays = choose_relays(each, now);
            out.insert(out.end(), relays.begin(), relays.end());
            continue;
        }
        const auto rank = static_cast<std::size_t>(self - local.begin());
        if (auto relay = select_remote_relay(each, rank, now)) {
            out.push_back(std::move(*relay));
        }
    }
    return out;
}

std::optional<std::string> relay_directory::select_remote_relay(const std::string& data_centre,
                                                                std::size_t rank, time_point now) {
    const auto pick = [&]() -> std::optional<std::string> {
        const auto relays = choose_relays(data_centre, now);
        return relays.empty() ? std::nullopt : std::optional(relays[rank % relays.size()]);
    };
    auto relay = pick();
    const bool is_silent = relay && !record_use(gateways_.at(*relay), now);
    return is_silent ? pick() : relay;
}

bool relay_directory::sends_directly(time_point now) {
    const auto live = std::count_if(gateways_.begin(), gateways_.end(),
                                    [&](const auto& each) { return is_live(each.second, now); });
    if (static_cast<std::size_t>(live) <= settings_.max_direct_gateways) {
        return true;
    }
    const auto chosen = select_relays(gateways_.at(own_address_).attributes.data_centre, now);
    return std::none_of(chosen.begin(), chosen.end(), [&](const std::string& each) {
        return each == own_address_ ||
               now - gateways_.at(each).last_seen_directly < settings_.relay_timeout;
    });
}

std::vector<std::string> relay_directory::bootstrap_peers(const std::string& newcomer,
                                                          time_point now) {
    const auto found = gateways_.find(newcomer);
    if (found == gateways_.end()) {
        return {};
    }
    auto& known = found->second;
    const bool is_too_soon = known.last_bootstrap != time_point{} &&
                             now - known.last_bootstrap < settings_.bootstrap_interval;
    if (is_too_soon) {
        return {};
    }
    known.last_bootstrap = now;
    auto addresses = choose_relays(known.attributes.data_centre, now);
    const auto others = bootstrap_selector_.next(peers(now));
    addresses.insert(addresses.end(), others.begin(), others.end());
    return addresses;
}

bool relay_directory::is_relay_for(const std::string& data_centre, time_point now) const {
    auto chosen = choose_relays(data_centre, now);
    if (chosen.empty()) {
        chosen = select_best([](const gateway&) { return true; }, now);
    }
    return std::find(chosen.begin(), chosen.end(), own_address_) != chosen.end();
}

std::set<std::string> relay_directory::other_data_centres(time_point now) const {
    std::set<std::string> out;
    for (const auto& [address, each] : gateways_) {
        if (is_live(each, now)) {
            out.insert(each.attributes.data_centre);
        }
    }
    out.erase(gateways_.at(own_address_).attributes.data_centre);
    return out;
}

std::vector<std::string> relay_directory::local_peers(time_point now) const {
    const auto& own_data_centre = gateways_.at(own_address_).attributes.data_centre;
    std::vector<std::string> out;
    for (const auto& [address, each] : gateways_) {
        if (address != own_address_ && is_live(each, now) &&
            each.attributes.data_centre == own_data_centre) {
            out.push_back(address);
        }
    }
    return out;
}

std::vector<std::string> relay_directory::live_granters(time_point now) const {
    std::vector<std::string> out;
    for (const auto& [address, each] : gateways_) {
        if (address == own_address_ || (each.attributes.grants_permits && is_live(each, now))) {
            out.push_back(address);
        }
    }
    return out;
}

std::vector<std::string> relay_directory::peers(time_point now) const {
    std::vector<std::string> out;
    for (const auto& [address, each] : gateways_) {
        if (address != own_address_ && now - each.last_seen < settings_.peer_expiry) {
            out.push_back(address);
        }
    }
    return out;
}

} // namespace camphorgrade::peering
