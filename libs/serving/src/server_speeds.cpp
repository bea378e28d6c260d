#include <serving/server_speeds.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorgrade::serving {

double server_speeds::remaining_share(const speed& of, time_point now) const {
    const auto age = static_cast<double>((now - of.updated_at).count());
    return std::exp2(-std::max(age, 0.0) / static_cast<double>(settings_.half_life.count()));
}

void server_speeds::add(const server_kind& key, double log2_ratio_sum, double count,
                        time_point now) {
    const auto found = speeds_.find(key);
    if (found == speeds_.end() && speeds_.size() >= settings_.max_servers) {
        return;
    }
    auto& known = found == speeds_.end() ? speeds_[key] : found->second;
    const auto share = remaining_share(known, now);
    known.log2_ratio_sum = known.log2_ratio_sum * share + log2_ratio_sum;
    known.weight = known.weight * share + count;
    known.updated_at = now;
}

void server_speeds::on_response(const server_process& server, speed_kind kind, duration measured,
                                duration expected, time_point now) {
    if (!settings_.is_enabled || expected < settings_.min_expected_time) {
        return;
    }
    const auto ratio = static_cast<double>(std::max(measured, duration{1}).count()) /
                       static_cast<double>(expected.count());
    const auto log2_ratio =
        std::clamp(std::log2(ratio), -settings_.max_log2_ratio, settings_.max_log2_ratio);
    add({server, kind}, log2_ratio, 1, now);
    auto& unreported =
        unreported_.try_emplace({server, kind}, speed_sample{server, kind, 0, 0}).first->second;
    ++unreported.count;
    unreported.log2_ratio_sum += log2_ratio;
}

bool server_speeds::on_peer_sample(const speed_sample& sample, time_point now) {
    const auto bound = settings_.max_log2_ratio * static_cast<double>(sample.count);
    const bool is_possible = sample.count > 0 && std::isfinite(sample.log2_ratio_sum) &&
                             std::abs(sample.log2_ratio_sum) <= bound;
    if (!settings_.is_enabled || !is_possible) {
        return false;
    }
    add({sample.server, sample.kind}, sample.log2_ratio_sum, sample.count, now);
    return true;
}

std::vector<speed_sample> server_speeds::take_samples() {
    std::vector<speed_sample> out;
    for (auto& each : std::exchange(unreported_, {})) {
        out.push_back(std::move(each.second));
    }
    return out;
}

double server_speeds::time_ratio(const server_process& server, speed_kind kind,
                                 time_point now) const {
    const auto found = speeds_.find({server, kind});
    if (found == speeds_.end()) {
        return 1;
    }
    const auto share = remaining_share(found->second, now);
    const auto weight = found->second.weight * share + settings_.prior_weight;
    return std::exp2(found->second.log2_ratio_sum * share / weight);
}

void server_speeds::erase_ended(const std::function<bool(const server_process&)>& is_current) {
    std::erase_if(speeds_, [&](const auto& each) { return !is_current(each.first.first); });
}

} // namespace camphorgrade::serving
