#include <serving/crashing_parts.h>

#include <algorithm>
#include <tuple>

namespace camphorgrade::serving {

bool crashing_parts::has_changes(time_point now) const {
    const bool has_own_crash = std::any_of(crashes_.begin(), crashes_.end(), [&](const auto& each) {
        return each.second.is_own && now - each.second.known_since < settings_.repeat_duration;
    });
    return has_news_ || has_own_crash ||
           std::any_of(suspects_.begin(), suspects_.end(), [](const candidate& each) {
               return each.second.suspect_since && each.second.own != each.second.reported &&
                      each.second.own.before + each.second.own.since > 0;
           });
}

crashing_parts_report crashing_parts::next_report(bool is_complete, time_point now) {
    has_news_ = false;
    crashing_parts_report out;
    for (const auto& [server, each] : disproofs_) {
        const bool is_recent = each.is_own && now - each.since < settings_.repeat_duration;
        if (is_recent && out.alive.size() < settings_.max_reported_crashes) {
            out.alive.push_back(server);
        }
    }
    if (suspects_.empty()) {
        return out;
    }
    struct entry {
        bool is_of_held;
        time_point known_since;
        const server_process* server;
    };
    std::vector<entry> found;
    for (const auto& [server, each] : crashes_) {
        const bool is_recent = each.is_own && now - each.known_since < settings_.repeat_duration;
        if (!is_complete && !is_recent) {
            continue;
        }
        const bool is_of_held =
            is_complete && std::any_of(each.parts.begin(), each.parts.end(),
                                       [this](auto part) { return held_.contains(part); });
        found.push_back({is_of_held, each.known_since, &server});
    }
    std::sort(found.begin(), found.end(), [](const entry& a, const entry& b) {
        return std::tuple(a.is_of_held, a.known_since, *a.server) >
               std::tuple(b.is_of_held, b.known_since, *b.server);
    });
    found.resize(std::min(found.size(), settings_.max_reported_crashes));
    for (const auto& each : found) {
        report_crash(*each.server, out);
    }
    report_starts(is_complete, out);
    return out;
}

void crashing_parts::report_crash(const server_process& server, crashing_parts_report& out) const {
    const auto& parts = crashes_.at(server).parts;
    std::vector<std::uint64_t> ranked(parts.begin(), parts.end());
    // The parts with most evidence first.
    const auto weight = [this](std::uint64_t part) {
        const auto& each = suspects_.at(part);
        return std::tuple(each.is_held, each.crashed.size(), ~each.starts(), part);
    };
    std::sort(ranked.begin(), ranked.end(),
              [&](std::uint64_t a, std::uint64_t b) { return weight(a) > weight(b); });
    ranked.resize(std::min(ranked.size(), settings_.max_reported_parts));
    out.crashes.push_back({server, std::move(ranked)});
}

void crashing_parts::report_starts(bool is_complete, crashing_parts_report& out) {
    std::vector<candidate*> found;
    for (auto& each : suspects_) {
        const auto& own = each.second.own;
        const bool has_starts = own.before + own.since > 0;
        const bool is_new = is_complete || own != each.second.reported;
        if (each.second.suspect_since && has_starts && is_new) {
            found.push_back(&each);
        }
    }
    const auto weight = [](const candidate& each) {
        return std::tuple(each.second.is_held, each.second.crashed.size(), each.second.last_crash,
                          each.first);
    };
    const auto count = std::min(found.size(), settings_.max_reported_starts);
    std::partial_sort(
        found.begin(), found.begin() + static_cast<std::ptrdiff_t>(count), found.end(),
        [&](const candidate* a, const candidate* b) { return weight(*a) > weight(*b); });
    for (std::size_t i = 0; i < count; ++i) {
        found[i]->second.reported = found[i]->second.own;
        out.starts.push_back(found[i]->second.own);
    }
}

} // namespace camphorgrade::serving
