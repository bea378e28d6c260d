#include <serving/server_limits.h>

#include <kernel/check.h>

#include <cmath>

namespace camphorgrade::serving {

std::optional<limit_change> server_limits::on_response(const server_process& server,
                                                       std::optional<double> limit, time_point sent,
                                                       time_point now) {
    CAMPHOR_PRECONDITION(!limit || (std::isfinite(*limit) && *limit >= 0));
    const auto found = limits_.find(server);
    if (found == limits_.end()) {
        if (!limit) {
            return std::nullopt;
        }
        limits_.emplace(server, request_limit{*limit, now});
        return limit_change{server, std::nullopt, limit};
    }
    auto& known = found->second;
    const auto before = known.requests_per_s;
    const bool is_lower = limit && *limit <= before;
    const bool is_newer = sent >= known.confirmed_at;
    if (!is_lower && !is_newer) {
        return std::nullopt;
    }
    if (!limit) {
        limits_.erase(found);
        return limit_change{server, before, std::nullopt};
    }
    known = {*limit, now};
    return *limit == before ? std::nullopt : std::optional(limit_change{server, before, limit});
}

std::optional<request_limit> server_limits::find(const server_process& server) const {
    const auto found = limits_.find(server);
    return found == limits_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace camphorgrade::serving
