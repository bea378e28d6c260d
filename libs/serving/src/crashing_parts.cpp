#include <serving/crashing_parts.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace camphorgrade::serving {

std::string_view to_string(part_state state) noexcept {
    switch (state) {
    case part_state::suspect:
        return "suspect";
    case part_state::held:
        return "held";
    case part_state::on_trial:
        return "on_trial";
    case part_state::cleared:
        return "cleared";
    }
    return "unknown";
}

crashing_parts::crashing_parts(crashing_parts_settings settings)
    : settings_(settings), start_counts_(settings.starts) {}

std::vector<std::uint64_t> crashing_parts::parts_of(const std::vector<prompt_part>& prompt) const {
    std::vector<std::uint64_t> parts;
    const auto count = prompt.empty() ? 0 : prompt.size() - 1; // the last one is the request's own
    for (std::size_t i = 0; i < std::min(count, settings_.max_prompt_parts); ++i) {
        parts.push_back(prompt[i].id);
    }
    return parts;
}

void crashing_parts::on_start(const std::vector<prompt_part>& prompt, const server_process& server,
                              time_point now) {
    const auto crashed = crashes_.find(server);
    if (crashed != crashes_.end()) {
        const auto age = now - crashed->second.last_break;
        if (age >= settings_.min_disproof_age && age < settings_.disproof_window) {
            disprove(server, true, now);
        }
    }
    for (const auto part : parts_of(prompt)) {
        start_counts_.add(part, now);
        const auto found = suspects_.find(part);
        if (found != suspects_.end()) {
            auto& since = found->second.own.since;
            since = std::min(since + 1, settings_.max_starts);
            found->second.trial_began.reset();
            has_new_evidence_ = true;
        }
    }
}

void crashing_parts::on_crash(const std::vector<prompt_part>& prompt, const server_process& server,
                              time_point now) {
    for (const auto part : parts_of(prompt)) {
        has_news_ = add(part, server, true, now) || has_news_;
    }
    const auto found = crashes_.find(server);
    if (found != crashes_.end()) {
        found->second.last_break = now;
    }
}

void crashing_parts::on_report(const std::string& peer, const crashing_parts_report& report,
                               time_point now) {
    for (const auto& each : report.crashes) {
        const auto known = crashes_.find(each.server);
        const bool is_known =
            known != crashes_.end() &&
            std::all_of(each.parts.begin(), each.parts.end(),
                        [&](std::uint64_t part) { return known->second.parts.contains(part); });
        for (std::size_t i = 0; !is_known && i < each.parts.size(); ++i) {
            add(each.parts[i], each.server, false, now);
        }
    }
    for (const auto& each : report.starts) {
        const auto found = suspects_.find(each.part);
        if (found == suspects_.end()) {
            continue;
        }
        auto& known = found->second.peers[peer];
        found->second.peer_starts -= known.before + known.since;
        found->second.peer_starts += each.before + each.since;
        found->second.peer_starts_since -= known.since;
        found->second.peer_starts_since += each.since;
        known = each;
        has_new_evidence_ = true;
    }
    for (const auto& each : report.alive) {
        disprove(each, false, now);
    }
}

bool crashing_parts::add(std::uint64_t part, const server_process& server, bool is_own,
                         time_point now) {
    const auto known = crashes_.find(server);
    const bool is_known = known != crashes_.end() && known->second.parts.contains(part);
    auto* added = is_known || is_disproved(server, now) ? nullptr : find_or_add(part);
    if (added == nullptr) {
        return false;
    }
    auto found = crashes_.find(server); // find_or_add() may have erased it
    if (found == crashes_.end()) {
        make_room_for_crash();
        found = crashes_.emplace(server, crash{now, now, false, {}}).first;
    }
    found->second.is_own = found->second.is_own || is_own;
    found->second.parts.insert(part);
    added->crashed.insert(server);
    added->last_crash = now;
    if (!added->suspect_since && added->crashed.size() >= settings_.min_suspect_crashes) {
        added->suspect_since = now;
        record_change(*suspects_.find(part), part_state::suspect);
    }
    added->trial_began.reset();
    if (added->is_on_trial) {
        added->is_on_trial = false;
        added->hold = std::min(added->hold * settings_.hold_growth, settings_.max_hold);
    }
    added->held_until = now + added->hold;
    has_new_evidence_ = true;
    return true;
}

crashing_parts::suspect* crashing_parts::find_or_add(std::uint64_t part) {
    const auto found = suspects_.find(part);
    if (found != suspects_.end()) {
        return &found->second;
    }
    if (suspects_.size() >= settings_.max_suspects) {
        const auto weight = [](const candidate& each) {
            return std::tuple(each.second.is_held, each.second.crashed.size(),
                              each.second.last_crash);
        };
        const auto least = std::min_element(
            suspects_.begin(), suspects_.end(),
            [&](const candidate& a, const candidate& b) { return weight(a) < weight(b); });
        if (least->second.is_held) {
            return nullptr;
        }
        forget(least->first);
    }
    auto& added = suspects_[part];
    added.own = {part, std::min(start_counts_.count(part), settings_.max_starts), 0};
    added.hold = settings_.hold;
    return &added;
}

void crashing_parts::make_room_for_crash() {
    if (crashes_.size() < settings_.max_crashes) {
        return;
    }
    const auto holds = [this](const auto& each) {
        return std::any_of(each.second.parts.begin(), each.second.parts.end(),
                           [this](std::uint64_t part) { return held_.contains(part); });
    };
    const auto oldest =
        std::min_element(crashes_.begin(), crashes_.end(), [&](const auto& a, const auto& b) {
            return std::tuple(holds(a), a.second.known_since) <
                   std::tuple(holds(b), b.second.known_since);
        });
    forget_crash(server_process(oldest->first));
}

void crashing_parts::forget_crash(const server_process& server) {
    const auto found = crashes_.find(server);
    if (found == crashes_.end()) {
        return;
    }
    for (const auto part : found->second.parts) {
        suspects_.at(part).crashed.erase(server);
    }
    crashes_.erase(found);
    has_new_evidence_ = true;
}

bool crashing_parts::is_disproved(const server_process& server, time_point now) const {
    const auto found = disproofs_.find(server);
    return found != disproofs_.end() && now - found->second.since < settings_.disproof_retention;
}

void crashing_parts::disprove(const server_process& server, bool is_own, time_point now) {
    if (is_disproved(server, now) || disproofs_.size() >= settings_.max_crashes) {
        return;
    }
    disproofs_[server] = {now, is_own};
    has_news_ = has_news_ || is_own;
    forget_crash(server);
}

void crashing_parts::forget(std::uint64_t part) {
    const auto found = suspects_.find(part);
    for (const auto& server : found->second.crashed) {
        const auto crashed = crashes_.find(server);
        crashed->second.parts.erase(part);
        if (crashed->second.parts.empty()) {
            crashes_.erase(crashed);
        }
    }
    held_.erase(part);
    suspects_.erase(found);
}

void crashing_parts::expire(time_point now) {
    std::erase_if(disproofs_, [&](const auto& each) {
        return now - each.second.since >= settings_.disproof_retention;
    });
    std::vector<std::uint64_t> expired;
    for (const auto& [part, each] : suspects_) {
        const auto last_use = each.is_held ? each.held_until : each.last_crash;
        if (now - last_use >= settings_.retention) {
            expired.push_back(part);
        }
    }
    for (const auto part : expired) {
        auto& each = *suspects_.find(part);
        if (each.second.is_held) {
            record_change(each, part_state::cleared);
        }
        forget(part);
    }
}

std::vector<crashing_parts::candidate*> crashing_parts::candidates() {
    struct ranked {
        std::size_t crashes;
        std::uint64_t starts;
        candidate* part;
    };
    std::vector<ranked> found;
    for (auto& each : suspects_) {
        const auto crashes = each.second.crashed.size();
        if (crashes >= settings_.min_crashes || each.second.is_held) {
            found.push_back({crashes, each.second.starts(), &each});
        }
    }
    std::sort(found.begin(), found.end(), [](const ranked& a, const ranked& b) {
        return std::tuple(b.crashes, a.starts, a.part->first) <
               std::tuple(a.crashes, b.starts, b.part->first);
    });
    std::vector<candidate*> out;
    std::transform(found.begin(), found.end(), std::back_inserter(out),
                   [](const ranked& each) { return each.part; });
    return out;
}

std::uint64_t crashing_parts::most_starts_since() const {
    std::uint64_t most = 0;
    for (const auto& each : suspects_) {
        most = std::max(most, each.second.starts_since());
    }
    return most;
}

bool crashing_parts::is_crashing(const suspect& each, const std::set<server_process>& explained,
                                 std::uint64_t most_starts, time_point now) const {
    const auto crashes = static_cast<std::size_t>(
        std::count_if(each.crashed.begin(), each.crashed.end(),
                      [&](const server_process& server) { return !explained.contains(server); }));
    const auto age = now - each.suspect_since.value_or(now);
    const bool has_many_crashes = crashes >= settings_.min_crashes_despite_starts;
    const bool is_certain =
        each.is_held || most_starts >= each.starts_since() + settings_.min_other_starts;
    const bool never_starts = crashes >= settings_.min_crashes &&
                              (is_certain || has_many_crashes) && age >= settings_.min_suspicion &&
                              crashes > settings_.crashes_per_start * each.starts();
    const bool starts_no_more = is_certain && has_many_crashes &&
                                age >= settings_.min_suspicion_despite_starts &&
                                crashes > settings_.crashes_per_start * each.starts_since();
    return never_starts || starts_no_more;
}

bool crashing_parts::update(time_point now) {
    if (!has_new_evidence_ && now - updated_at_ < settings_.update_interval) {
        return false;
    }
    has_new_evidence_ = false;
    updated_at_ = now;
    expire(now);
    if (suspects_.empty()) {
        return false;
    }
    bool has_new = false;
    std::set<server_process> explained;
    const auto ranked = candidates();
    const auto most_starts = most_starts_since();
    for (auto at = ranked.begin(); at != ranked.end();) {
        // Parts with the same evidence don't explain each other's crashes.
        const auto crashes = (*at)->second.crashed.size();
        const auto starts = (*at)->second.starts();
        const auto end = std::find_if(at, ranked.end(), [&](const candidate* each) {
            return each->second.crashed.size() != crashes || each->second.starts() != starts;
        });
        std::set<server_process> newly_explained;
        for (; at != end; ++at) {
            const bool crashing = is_crashing((*at)->second, explained, most_starts, now);
            has_new = set_crashing(**at, crashing, now) || has_new;
            if (crashing) {
                newly_explained.insert((*at)->second.crashed.begin(), (*at)->second.crashed.end());
            }
        }
        explained.merge(newly_explained);
    }
    return has_new;
}

bool crashing_parts::set_crashing(candidate& each, bool is_crashing, time_point now) {
    auto& part = each.second;
    if (!is_crashing) {
        if (std::exchange(part.is_held, false)) {
            part.is_on_trial = false;
            held_.erase(each.first);
            record_change(each, part_state::cleared);
        }
        return false;
    }
    if (!part.is_held) {
        part.is_held = true;
        part.held_since = now;
        part.held_until = now + part.hold;
        held_.insert(each.first);
        record_change(each, part_state::held);
        return true;
    }
    if (!part.is_on_trial && now >= part.held_until) {
        part.is_on_trial = true;
        record_change(each, part_state::on_trial);
    }
    return false;
}

void crashing_parts::record_change(const candidate& each, part_state state) {
    const auto& part = each.second;
    changes_.push_back({each.first, state,
                        std::vector<server_process>(part.crashed.begin(), part.crashed.end()),
                        part.starts(), part.hold});
}

std::size_t crashing_parts::suspects() const {
    return static_cast<std::size_t>(
        std::count_if(suspects_.begin(), suspects_.end(), [](const candidate& each) {
            return each.second.suspect_since && !each.second.is_held;
        }));
}

std::vector<part_state_change> crashing_parts::take_changes() {
    return std::exchange(changes_, {});
}

} // namespace camphorgrade::serving
