#include <serving/software_versions.h>

#include <algorithm>

namespace camphorgrade::serving {

void software_versions::observe(const backend_registry& backends,
                                const std::optional<registration_period>& registrations,
                                time_point now) {
    if (last_observed_ && now - *last_observed_ > settings_.max_observation_gap) {
        known_.reset();
        wakes_at_ = now + settings_.wake_time;
    }
    last_observed_ = now;
    if (registrations && registrations->until >= wakes_at_) {
        observe_period(*registrations, now);
    }
    for (const auto& [id, view] : backends.all()) {
        if (!view.is_removed) {
            add(view.server.service, view.server.software_version, now);
        }
    }
    forget_old(now);
}

void software_versions::observe_period(const registration_period& registrations, time_point now) {
    if (has_observed_registrations_) {
        extend({registrations.from, registrations.until}, settings_.max_registration_gap);
        return;
    }
    has_observed_registrations_ = true;
    // What was learned before the first observation ended before this process started.
    const auto from = settings_.is_restart ? registrations.from : now - settings_.memory;
    extend({from, registrations.until}, settings_.max_learned_gap);
}

void software_versions::learn(const software_history& history, time_point now) {
    add(history.records, now);
    if (history.known) {
        extend({now - history.known->from_age, now - history.known->until_age},
               settings_.max_learned_gap);
    }
    forget_old(now);
}

void software_versions::recover(const std::vector<software_record>& records, duration reach,
                                time_point read_at) {
    add(records, read_at);
    extend({read_at - reach, read_at}, settings_.max_registration_gap);
    forget_old(read_at);
}

void software_versions::add(const std::vector<software_record>& records, time_point as_of) {
    for (const auto& each : records) {
        if (each.age < settings_.memory) {
            add(each.service, each.version, as_of - each.age);
        }
    }
}

void software_versions::add(const std::string& service, const std::string& version,
                            time_point seen_at) {
    const auto [found, is_new] = seen_[service].try_emplace(version, seen_at);
    found->second = std::max(found->second, seen_at);
    changes_ += is_new ? 1 : 0;
}

void software_versions::extend(const period& added, duration max_gap) {
    if (!known_) {
        known_ = added;
        return;
    }
    const bool is_adjacent =
        added.from - known_->until <= max_gap && known_->from - added.until <= max_gap;
    if (is_adjacent) {
        known_ = period{std::min(known_->from, added.from), std::max(known_->until, added.until)};
    } else if (added.until > known_->until) {
        known_ = added;
    }
}

void software_versions::forget_old(time_point now) {
    for (auto& [service, versions] : seen_) {
        std::erase_if(versions,
                      [&](const auto& each) { return now - each.second >= settings_.memory; });
    }
    std::erase_if(seen_, [](const auto& each) { return each.second.empty(); });
    if (known_) {
        known_->from = std::max(known_->from, now - settings_.memory);
        known_->until = std::max(known_->until, known_->from);
    }
}

software_history software_versions::history(time_point now) const {
    software_history out;
    out.known = known(now);
    for (const auto& [service, versions] : seen_) {
        for (const auto& [version, seen_at] : versions) {
            out.records.push_back({service, version, now - seen_at});
        }
    }
    return out;
}

std::optional<known_period> software_versions::known(time_point now) const {
    return known_ ? std::optional(known_period{now - known_->from, now - known_->until})
                  : std::nullopt;
}

std::optional<time_point> software_versions::known_from() const {
    return known_ ? std::optional(known_->from) : std::nullopt;
}

bool software_versions::is_known_since(time_point time, time_point now) const {
    return known_ && known_->from <= time && now - known_->until <= settings_.max_registration_age;
}

bool software_versions::needs_history(time_point now) const {
    return !is_known_since(now - settings_.memory, now);
}

std::set<std::string> software_versions::of_service(const std::string& service,
                                                    time_point since) const {
    std::set<std::string> out;
    const auto found = seen_.find(service);
    if (found != seen_.end()) {
        for (const auto& [version, seen_at] : found->second) {
            if (seen_at >= since) {
                out.insert(version);
            }
        }
    }
    return out;
}

std::set<std::string> software_versions::mixed_services() const {
    std::set<std::string> out;
    for (const auto& [service, versions] : seen_) {
        if (versions.size() > 1) {
            out.insert(service);
        }
    }
    return out;
}

std::set<std::string> software_versions::services() const {
    std::set<std::string> out;
    for (const auto& each : seen_) {
        out.insert(each.first);
    }
    return out;
}

} // namespace camphorgrade::serving
