#include "crash_ledger.h"

#include <algorithm>

namespace camphorgrade::soak {

namespace {

constexpr std::size_t crashes_until_bound = 5;
constexpr duration stable_time{3'000};
constexpr std::size_t max_late_arrivals = 3;
// Sound requests that share the first part, compared with those that don't.
constexpr double min_relative_share = 0.5;

} // namespace

std::string prompt::text(std::uint64_t request_number) const {
    const auto common = first_part + ":100";
    const auto crashing = has_crashing_part ? std::string(",") + crashing_part + ":60" : "";
    return common + crashing + ",e" + std::to_string(request_number) + ":20";
}

void crash_ledger::on_sent(const std::string& request, const prompt& parts, time_point now) {
    requests_[request] = {parts, now};
}

void crash_ledger::on_arrival(const std::string& request, time_point now) {
    const auto found = requests_.find(request);
    if (found != requests_.end() && found->second.parts.has_crashing_part) {
        arrivals_.push_back(now);
    }
}

void crash_ledger::on_request_end(const std::string& request, bool began) {
    const auto found = requests_.find(request);
    if (found != requests_.end()) {
        found->second.has_ended = true;
        found->second.began = began;
    }
}

time_point crash_ledger::bound() const {
    return crashes_.size() < crashes_until_bound ? time_point::max()
                                                 : crashes_[crashes_until_bound - 1] + stable_time;
}

std::size_t crash_ledger::late_arrivals() const {
    return static_cast<std::size_t>(std::count_if(arrivals_.begin(), arrivals_.end(),
                                                  [this](time_point at) { return at > bound(); }));
}

crash_ledger::begun_share crash_ledger::sound_requests(bool shares_first_part) const {
    begun_share out;
    for (const auto& [name, each] : requests_) {
        const bool is_sound = !each.parts.has_crashing_part && each.has_ended;
        const bool is_wanted =
            each.parts.first_part == (shares_first_part ? crashing_first_part : sound_first_part);
        if (is_sound && is_wanted && each.sent > bound() && each.sent < last_sent_) {
            ++out.ended;
            out.began += each.began ? 1 : 0;
        }
    }
    return out;
}

std::vector<std::string> crash_ledger::violations() const {
    std::vector<std::string> out;
    if (late_arrivals() > max_late_arrivals) {
        out.push_back(
            "requests that crash servers are held back: " + std::to_string(late_arrivals()) +
            " sent later than " + std::to_string(stable_time.count()) +
            " ms after the fifth crash, " + std::to_string(crashes_.size()) + " crashes");
    }
    const auto sharing = sound_requests(true);
    const auto others = sound_requests(false);
    if (sharing.share() < min_relative_share * others.share()) {
        out.push_back("sound requests that share a part with those that crash servers begin: " +
                      std::to_string(sharing.began) + " of " + std::to_string(sharing.ended) +
                      ", without that part " + std::to_string(others.began) + " of " +
                      std::to_string(others.ended));
    }
    return out;
}

std::string crash_ledger::summary() const {
    const auto sharing = sound_requests(true);
    const auto others = sound_requests(false);
    return std::to_string(crashes_.size()) + " crashes, " + std::to_string(arrivals_.size()) +
           " requests with the crashing part sent, " + std::to_string(late_arrivals()) +
           " late; sound ones that began: " + std::to_string(sharing.began) + " of " +
           std::to_string(sharing.ended) + " with its first part, " + std::to_string(others.began) +
           " of " + std::to_string(others.ended) + " others";
}

} // namespace camphorgrade::soak
