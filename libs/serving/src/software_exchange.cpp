#include <serving/software_exchange.h>

#include "hash_rank.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace camphorgrade::serving {

software_exchange::software_exchange(software_versions& versions,
                                     software_exchange_settings settings)
    : versions_(versions), settings_(settings), query_interval_(settings.min_query_interval) {}

void software_exchange::set_gateways(const std::string& own, const std::vector<std::string>& live) {
    peers_.clear();
    std::copy_if(live.begin(), live.end(), std::back_inserter(peers_),
                 [&](const std::string& each) { return each != own; });
    std::sort(peers_.begin(), peers_.end());
    const auto rank = std::lower_bound(peers_.begin(), peers_.end(), own) - peers_.begin();
    tells_regularly_ = static_cast<std::size_t>(rank) < settings_.telling_gateways;
    if (!has_first_peer_ && !peers_.empty()) {
        has_first_peer_ = true;
        next_peer_ = static_cast<std::size_t>(rank);
    }
}

void software_exchange::set_agents(const std::vector<std::string>& agents) {
    const bool had_none = agents_.empty();
    // All gateways choose the same agents, so that those that start ask the ones that were told.
    agents_ = first_by_hash(agents, 0, settings_.agents);
    if (had_none && !agents_.empty()) {
        last_asked_ = {}; // they may be the only ones that know the history
    }
}

void software_exchange::on_message(const std::string& from, const software_message& message,
                                   time_point now) {
    if (!versions_.is_waking(now)) {
        std::erase_if(last_heard_, [&](const auto& each) {
            return now - each.second >= settings_.confirmation_time;
        });
        last_heard_[from] = now;
        unanswered_since_.reset();
    }
    const auto before = versions_.known_from();
    versions_.learn(message.history, now);
    const auto after = versions_.known_from();
    has_answer_ = has_answer_ || (after && (!before || *after < *before));
    if (message.is_query) {
        send({from}, false, now);
    }
}

software_exchange::confirmation software_exchange::confirmed(time_point now) const {
    const bool is_alone =
        last_heard_.empty() || (peers_.empty() && agents_.empty()) ||
        (unanswered_since_ && now - *unanswered_since_ >= settings_.solitude_time);
    if (is_alone) {
        return confirmation::half;
    }
    const auto told = std::count_if(asked_.begin(), asked_.end(), [&](const std::string& each) {
        const auto found = last_heard_.find(each);
        return found != last_heard_.end() && now - found->second < settings_.confirmation_time;
    });
    const auto count = static_cast<std::size_t>(told);
    if (count == 0 || 2 * count < asked_.size()) {
        return confirmation::none;
    }
    return 4 * count >= 3 * asked_.size() ? confirmation::nearly_all : confirmation::half;
}

bool software_exchange::expects_answer(time_point now) const {
    return !has_answer_ && (!started_ || now - *started_ < settings_.first_answer_time);
}

bool software_exchange::ask(time_point now) {
    const bool has_somebody_to_ask = !peers_.empty() || !agents_.empty();
    if (has_somebody_to_ask && now - last_asked_ >= settings_.min_query_interval) {
        last_asked_ = now;
        unanswered_since_ = unanswered_since_.value_or(now);
        const auto asked_gateways = next_peers(settings_.asked_gateways);
        asked_ = {asked_gateways.begin(), asked_gateways.end()};
        asked_.insert(agents_.begin(), agents_.end());
        send(asked_gateways, true, now);
        send(agents_, true, now);
    }
    return has_somebody_to_ask;
}

std::vector<std::string> software_exchange::next_peers(std::size_t count) {
    std::vector<std::string> out;
    for (std::size_t i = 0; i < std::min(count, peers_.size()); ++i) {
        out.push_back(peers_[next_peer_++ % peers_.size()]);
    }
    return out;
}

void software_exchange::send(const std::vector<std::string>& to, bool is_query, time_point now) {
    const software_message message{is_query, versions_.history(now)};
    for (const auto& each : to) {
        messages_.push_back({each, message});
    }
}

void software_exchange::ask_when_due(time_point now) {
    started_ = started_.value_or(now);
    const bool is_starting = now - *started_ < settings_.start_query_time;
    const bool is_unconfirmed = is_starting && !has_answer_;
    if (!versions_.needs_history(now) && !is_unconfirmed) {
        query_interval_ = settings_.min_query_interval;
        return;
    }
    if (now - last_asked_ >= query_interval_) {
        query_interval_ = std::min(query_interval_ * 2, settings_.max_query_interval);
        ask(now);
    }
}

void software_exchange::tell_when_due(time_point now) {
    if (versions_.changes() != told_changes_) {
        told_changes_ = versions_.changes();
        last_told_ = now;
        send(next_peers(settings_.told_gateways), false, now);
        send(agents_, false, now);
    } else if (tells_regularly_ && now - last_told_ >= settings_.tell_interval) {
        last_told_ = now;
        send(agents_, false, now);
    }
}

std::vector<addressed_software_message> software_exchange::take_messages(time_point now) {
    ask_when_due(now);
    tell_when_due(now);
    return std::exchange(messages_, {});
}

} // namespace camphorgrade::serving
