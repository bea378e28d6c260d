#include <peering/relay_directory.h>

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace camphorgrade::peering {

relay_directory::relay_directory(std::string own, peer_attributes identity,
                                 relay_directory_settings settings)
    : own_(std::move(own)), settings_(settings), introduced_(settings.max_bootstrap_peers) {
    auto& self = gateways_[own_];
    self.identity = std::move(identity);
    self.rank = XXH64(own_.data(), own_.size(), 0);
}

void relay_directory::on_gateway_seen(const std::string& address, const peer_attributes& identity,
                                      bool is_direct, time_point now) {
    if (address == own_) {
        return;
    }
    auto [found, is_new] = gateways_.try_emplace(address);
    auto& known = found->second;
    if (is_new) {
        known.rank = XXH64(address.data(), address.size(), 0);
    }
    if (known.identity != identity) {
        known.identity = identity;
    }
    known.heard = now;
    if (is_direct) {
        known.heard_directly = now;
    }
}

void relay_directory::remove_expired(time_point now) {
    std::erase_if(gateways_, [&](const candidate& each) {
        return each.first != own_ && now - each.second.heard >= settings_.peer_expiry;
    });
}

bool relay_directory::is_live(const gateway& which, time_point now) const {
    const bool is_self = &which == &gateways_.at(own_);
    return is_self || now - which.heard < settings_.peer_liveness_timeout;
}

template <typename Predicate>
std::vector<std::string> relay_directory::best(Predicate is_wanted, time_point now) const {
    std::vector<const candidate*> found;
    for (const auto& each : gateways_) {
        if (is_live(each.second, now) && is_wanted(each.second)) {
            found.push_back(&each);
        }
    }
    const auto count = std::min(settings_.relays_per_data_centre, found.size());
    const auto goes_first = [](const candidate* a, const candidate* b) {
        return std::tie(b->second.identity.capacity_millicores, a->second.rank, a->first) <
               std::tie(a->second.identity.capacity_millicores, b->second.rank, b->first);
    };
    std::partial_sort(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(count),
                      found.end(), goes_first);
    std::vector<std::string> out;
    for (std::size_t i = 0; i < count; ++i) {
        out.push_back(found[i]->first);
    }
    return out;
}

std::vector<std::string> relay_directory::choose(const std::string& data_centre,
                                                 time_point now) const {
    auto chosen = best(
        [&](const gateway& each) {
            return each.identity.data_centre == data_centre && now >= each.passed_over_until;
        },
        now);
    if (chosen.empty()) {
        chosen = best([&](const gateway& each) { return each.identity.data_centre == data_centre; },
                      now);
    }
    return chosen;
}

bool relay_directory::note_use(gateway& which, time_point now) const {
    if (&which == &gateways_.at(own_)) {
        return true;
    }
    if (now - which.used_last >= settings_.relay_timeout) {
        which.used_since = now;
    }
    which.used_last = now;
    const bool is_in_time = now - which.used_since < settings_.relay_timeout ||
                            now - which.heard_directly < settings_.relay_timeout;
    if (!is_in_time) {
        which.passed_over_until = now + settings_.relay_cooldown;
    }
    return is_in_time;
}

std::vector<std::string> relay_directory::select_relays(const std::string& data_centre,
                                                        time_point now) {
    auto chosen = choose(data_centre, now);
    bool has_silent = false;
    for (const auto& each : chosen) {
        has_silent = !note_use(gateways_.at(each), now) || has_silent;
    }
    return has_silent ? choose(data_centre, now) : chosen;
}

std::vector<std::string> relay_directory::select_remote_relays(time_point now) {
    const auto local = choose(gateways_.at(own_).identity.data_centre, now);
    const auto self = std::find(local.begin(), local.end(), own_);
    std::vector<std::string> out;
    for (const auto& each : other_centres(now)) {
        if (self == local.end()) {
            const auto relays = choose(each, now);
            out.insert(out.end(), relays.begin(), relays.end());
            continue;
        }
        const auto rank = static_cast<std::size_t>(self - local.begin());
        if (auto partner = use_partner(each, rank, now)) {
            out.push_back(std::move(*partner));
        }
    }
    return out;
}

std::optional<std::string> relay_directory::use_partner(const std::string& data_centre,
                                                        std::size_t rank, time_point now) {
    const auto pick = [&]() -> std::optional<std::string> {
        const auto relays = choose(data_centre, now);
        return relays.empty() ? std::nullopt : std::optional(relays[rank % relays.size()]);
    };
    auto partner = pick();
    const bool is_silent = partner && !note_use(gateways_.at(*partner), now);
    return is_silent ? pick() : partner;
}

bool relay_directory::sends_directly(time_point now) {
    const auto live = std::count_if(gateways_.begin(), gateways_.end(),
                                    [&](const auto& each) { return is_live(each.second, now); });
    if (static_cast<std::size_t>(live) <= settings_.max_direct_gateways) {
        return true;
    }
    const auto chosen = select_relays(gateways_.at(own_).identity.data_centre, now);
    return std::none_of(chosen.begin(), chosen.end(), [&](const std::string& each) {
        return each == own_ || now - gateways_.at(each).heard_directly < settings_.relay_timeout;
    });
}

std::vector<std::string> relay_directory::bootstrap_peers(const std::string& newcomer,
                                                          time_point now) {
    const auto found = gateways_.find(newcomer);
    if (found == gateways_.end()) {
        return {};
    }
    auto& known = found->second;
    const bool was_told =
        known.introduced != time_point{} && now - known.introduced < settings_.bootstrap_interval;
    if (was_told) {
        return {};
    }
    known.introduced = now;
    auto names = choose(known.identity.data_centre, now);
    const auto others = introduced_.next(peers(now));
    names.insert(names.end(), others.begin(), others.end());
    return names;
}

bool relay_directory::is_relay_for(const std::string& data_centre, time_point now) const {
    auto chosen = choose(data_centre, now);
    if (chosen.empty()) {
        chosen = best([](const gateway&) { return true; }, now);
    }
    return std::find(chosen.begin(), chosen.end(), own_) != chosen.end();
}

std::set<std::string> relay_directory::other_centres(time_point now) const {
    std::set<std::string> out;
    for (const auto& [address, each] : gateways_) {
        if (is_live(each, now)) {
            out.insert(each.identity.data_centre);
        }
    }
    out.erase(gateways_.at(own_).identity.data_centre);
    return out;
}

std::vector<std::string> relay_directory::local_peers(time_point now) const {
    const auto& own_centre = gateways_.at(own_).identity.data_centre;
    std::vector<std::string> out;
    for (const auto& [address, each] : gateways_) {
        if (address != own_ && is_live(each, now) && each.identity.data_centre == own_centre) {
            out.push_back(address);
        }
    }
    return out;
}

std::vector<std::string> relay_directory::peers(time_point now) const {
    std::vector<std::string> out;
    for (const auto& [address, each] : gateways_) {
        if (address != own_ && now - each.heard < settings_.peer_expiry) {
            out.push_back(address);
        }
    }
    return out;
}

} // namespace camphorgrade::peering
