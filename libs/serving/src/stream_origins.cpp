#include <serving/stream_origins.h>

#include "hash_rank.h"

#include <kernel/check.h>

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

stream_origins::stream_origins(stream_origins_settings settings) : settings_(settings) {
    CAMPHOR_PRECONDITION(settings.max_streams > 0 && settings.max_records_per_message > 0);
}

stream_key stream_origins::key_of(std::string_view id) {
    return XXH64(id.data(), id.size(), 0);
}

void stream_origins::set_gateways(const std::string& own, const std::vector<std::string>& live) {
    own_ = own;
    live_ = live;
}

void stream_origins::on_begun(stream_key stream, const stream_origin& origin, time_point now) {
    remember(stream, origin, now);
    unsent_.push_back(stream);
    forget_old(now);
}

void stream_origins::on_records(const origin_records& records, time_point now) {
    for (const auto& each : records.records) {
        if (each.age < settings_.lifetime) {
            remember(each.stream, each.origin, now - each.age);
        }
    }
    forget_old(now);
}

void stream_origins::remember(stream_key stream, const stream_origin& origin, time_point used_at) {
    const auto added = entries_.try_emplace(stream, entry{origin, used_at});
    added.first->second.used_at = std::max(added.first->second.used_at, used_at);
    uses_.emplace_back(used_at, stream);
}

void stream_origins::forget_old(time_point now) {
    const auto is_over = [&] {
        return now - uses_.front().first >= settings_.lifetime ||
               entries_.size() > settings_.max_streams;
    };
    while (!uses_.empty() && is_over()) {
        const auto [used_at, stream] = uses_.front();
        uses_.pop_front();
        const auto found = entries_.find(stream);
        if (found != entries_.end() && found->second.used_at <= used_at) {
            entries_.erase(found);
        }
    }
    while (!unsent_.empty() && entries_.count(unsent_.front()) == 0) {
        unsent_.pop_front();
    }
}

std::optional<stream_origin> stream_origins::find(stream_key stream, time_point now) const {
    const auto found = entries_.find(stream);
    const bool is_known =
        found != entries_.end() && now - found->second.used_at < settings_.lifetime;
    return is_known ? std::optional(found->second.origin) : std::nullopt;
}

std::vector<std::string> stream_origins::holders(stream_key stream, std::size_t count) const {
    std::vector<std::string> others;
    std::copy_if(live_.begin(), live_.end(), std::back_inserter(others),
                 [this](const std::string& each) { return each != own_; });
    return first_by_hash(others, stream, count);
}

bool stream_origins::ask(stream_key stream) {
    // The gateway that began the stream chose among all but itself, this one among all but itself.
    const auto asked = holders(stream, settings_.copies + 1);
    for (const auto& each : asked) {
        messages_.push_back({each, origin_query{{stream}}});
    }
    return !asked.empty();
}

void stream_origins::on_query(const std::string& peer, const origin_query& query, time_point now) {
    origin_records known;
    for (const auto stream : query.streams) {
        const auto found = entries_.find(stream);
        const bool fits = known.records.size() < settings_.max_records_per_message;
        if (fits && found != entries_.end()) {
            known.records.push_back({stream, found->second.origin, now - found->second.used_at});
        }
    }
    if (!known.records.empty()) {
        messages_.push_back({peer, std::move(known)});
    }
}

void stream_origins::add_record(const std::string& to, origin_record record) {
    const auto has_room = [&](const origin_message& each) {
        const auto* records = std::get_if<origin_records>(&each.body);
        return each.to == to && records != nullptr &&
               records->records.size() < settings_.max_records_per_message;
    };
    auto found = std::find_if(messages_.begin(), messages_.end(), has_room);
    if (found == messages_.end()) {
        found = messages_.insert(messages_.end(), {to, origin_records{}});
    }
    std::get<origin_records>(found->body).records.push_back(std::move(record));
}

void stream_origins::add_new_origins(const std::set<std::string>& mixed, time_point now) {
    if (mixed.empty()) {
        return;
    }
    std::deque<stream_key> kept;
    std::size_t sent = 0;
    for (const auto stream : std::exchange(unsent_, {})) {
        const auto found = entries_.find(stream);
        if (found == entries_.end()) {
            continue;
        }
        const auto& known = found->second;
        if (mixed.count(known.origin.service) == 0 || sent == settings_.max_streams_per_send) {
            kept.push_back(stream);
            continue;
        }
        ++sent;
        shared_.push_back({stream, known.origin, now - known.used_at});
        for (const auto& to : holders(stream, settings_.copies)) {
            add_record(to, {stream, known.origin, now - known.used_at});
        }
    }
    unsent_ = std::move(kept);
    while (shared_.size() > settings_.max_streams) {
        shared_.pop_front();
    }
}

std::vector<origin_record> stream_origins::take_shared() {
    std::vector<origin_record> out(shared_.begin(), shared_.end());
    shared_.clear();
    return out;
}

std::vector<origin_message> stream_origins::take_messages(const std::set<std::string>& mixed,
                                                          time_point now) {
    if (now - last_sent_ >= settings_.send_interval) {
        last_sent_ = now;
        forget_old(now);
        add_new_origins(mixed, now);
    }
    return std::exchange(messages_, {});
}

} // namespace camphorgrade::serving
