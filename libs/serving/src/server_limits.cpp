#include <serving/server_limits.h>

#include <kernel/check.h>

#include <algorithm>
#include <cmath>

namespace camphorgrade::serving {

namespace {

bool is_valid(const std::optional<double>& limit) {
    return !limit || (std::isfinite(*limit) && *limit >= 0);
}

} // namespace

std::optional<limit_change> server_limits::apply(const server_process& server,
                                                 std::optional<double> limit, bool is_newer,
                                                 time_point observed_at) {
    const auto found = limits_.find(server);
    if (found == limits_.end()) {
        if (!limit) {
            return std::nullopt;
        }
        limits_.emplace(server, request_limit{*limit, observed_at});
        return limit_change{server, std::nullopt, limit};
    }
    auto& known = found->second;
    const auto before = known.requests_per_s;
    const bool is_lower = limit && *limit <= before;
    if (!is_lower && !is_newer) {
        return std::nullopt;
    }
    if (!limit) {
        limits_.erase(found);
        return limit_change{server, before, std::nullopt};
    }
    known = {*limit, std::max(known.confirmed_at, observed_at)};
    return *limit == before ? std::nullopt : std::optional(limit_change{server, before, limit});
}

void server_limits::record_observation(const server_process& server, std::optional<double> limit,
                                       time_point now) {
    const auto [found, is_new] = observations_.try_emplace(server);
    auto& own = found->second;
    if (is_new || own.requests_per_s != limit) {
        own = {limit, now, now, {}};
    }
    own.observed_at = now;
}

std::optional<limit_change> server_limits::on_response(const server_process& server,
                                                       std::optional<double> limit, time_point sent,
                                                       time_point now) {
    CAMPHOR_PRECONDITION(is_valid(limit));
    const auto known = limits_.find(server);
    const bool is_newer = known == limits_.end() || sent >= known->second.confirmed_at;
    auto change = apply(server, limit, is_newer, now);
    const auto in_force = find(server);
    const bool was_applied =
        limit ? in_force && in_force->requests_per_s == *limit : change.has_value();
    if (was_applied) {
        record_observation(server, limit, now);
    }
    return change;
}

std::optional<limit_change> server_limits::on_report(const limit_report& report, time_point now) {
    if (!is_valid(report.requests_per_s)) {
        return std::nullopt;
    }
    // The report's delay makes the observation look younger than it is, never older.
    const auto observed_at = now - report.age;
    const auto own = observations_.find(report.server);
    if (own != observations_.end() && own->second.requests_per_s == report.requests_per_s) {
        own->second.stated_at = now;
    }
    const bool ended_later = own != observations_.end() && !own->second.requests_per_s &&
                             own->second.observed_at > observed_at;
    const auto known = limits_.find(report.server);
    const bool is_older = known != limits_.end() && observed_at < known->second.confirmed_at;
    if (ended_later || is_older) {
        return std::nullopt;
    }
    const bool is_newer = known == limits_.end() ||
                          observed_at - settings_.max_report_delay > known->second.confirmed_at;
    auto change = apply(report.server, report.requests_per_s, is_newer, observed_at);
    if (change) {
        observations_.erase(report.server); // outdated
    }
    return change;
}

bool server_limits::is_recent_change(const observation& own, time_point now) const {
    return now - own.changed_at < settings_.change_repeat_duration;
}

bool server_limits::has_recent_changes(time_point now) const {
    return std::any_of(observations_.begin(), observations_.end(),
                       [&](const auto& each) { return is_recent_change(each.second, now); });
}

std::vector<limit_report> server_limits::next_reports(bool is_complete, time_point now) {
    std::vector<limit_report> out;
    for (auto& [server, own] : observations_) {
        const bool is_unstated =
            own.stated_at == time_point{} || now - own.stated_at >= settings_.min_repeat_interval;
        if (is_recent_change(own, now) || (is_complete && is_unstated)) {
            own.stated_at = now;
            out.push_back({server, own.requests_per_s, now - own.observed_at});
        }
    }
    return out;
}

std::optional<request_limit> server_limits::find(const server_process& server) const {
    const auto found = limits_.find(server);
    return found == limits_.end() ? std::nullopt : std::optional(found->second);
}

void server_limits::erase_ended(
    const std::function<std::optional<bool>(const server_process&)>& is_current, time_point now) {
    std::erase_if(limits_, [&](const auto& each) {
        const bool is_old = now - each.second.confirmed_at >= settings_.report_memory;
        return !is_current(each.first).value_or(!is_old);
    });
    std::erase_if(observations_, [&](const auto& each) {
        const auto& own = each.second;
        const bool is_old = now - own.observed_at >= settings_.report_memory;
        const bool ended_long_ago =
            !own.requests_per_s && now - own.changed_at >= settings_.report_memory;
        return ended_long_ago || !is_current(each.first).value_or(!is_old);
    });
}

} // namespace camphorgrade::serving
