#include <placement/load_pacer.h>

#include <wire/placement.pb.h>

#include <kernel/check.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace camphorgrade::placement {

namespace {

constexpr token pace_timer = 1;
constexpr double ms_per_s = 1000;
constexpr duration ask_interval{200};
constexpr duration silence_limit{700};
/** A permit is good for this long after the request that it answers was sent. */
constexpr duration permit_life{1000};
constexpr duration remember_for{5000};
constexpr std::uint64_t director_key = 0x6c6f616473;

} // namespace

std::optional<node_id> choose_director(const std::vector<node_id>& live) {
    if (live.empty()) {
        return std::nullopt;
    }
    return *std::ranges::max_element(live, {}, [](const node_id& each) {
        return std::pair(rendezvous_weight(director_key, each.value()), each);
    });
}

load_pacer::load_pacer(store_limit limit) : limit_(limit) {
    CAMPHOR_PRECONDITION(limit.loads_per_s > 0);
}

void load_pacer::set_limit(store_limit limit) {
    limit_ = limit;
}

void load_pacer::set_live(std::vector<node_id> live) {
    live_ = std::move(live);
    const auto chosen = choose_director(live_);
    if (chosen != director_) {
        director_ = chosen;
        unanswered_since_.reset();
    }
}

void load_pacer::want(std::vector<load_want> wants, step& now) {
    const bool changed = !std::ranges::equal(
        wants, wants_, {}, [](const load_want& w) { return w.adapter; },
        [](const load_want& w) { return w.adapter; });
    wants_ = std::move(wants);
    if (changed) {
        ask(now);
    }
    arm(now);
}

void load_pacer::finished(const adapter_ref& adapter, step& now) {
    const auto found = std::ranges::find_if(
        running_, [&](const auto& each) { return each.second.adapter == adapter; });
    if (found == running_.end()) {
        return;
    }
    finished_.emplace(found->first, now.time());
    running_.erase(found);
    ask(now);
}

void load_pacer::on_message(const message& received, step& now) {
    wire::load_reply reply;
    if (!reply.ParseFromString(received.payload)) {
        return;
    }
    if (received.from == director_) {
        unanswered_since_.reset();
        next_alone_.reset();
    }
    const auto asked = asked_at_.find(reply.sequence());
    for (const wire::load_grant& each : reply.grants()) {
        const bool first = seen_grants_.emplace(each.grant(), now.time()).second;
        if (!first) {
            continue;
        }
        const time_point expires =
            asked == asked_at_.end() ? time_point{} : asked->second + permit_life;
        take(each.grant(), parse_adapter(each.adapter()), expires, now);
    }
}

void load_pacer::on_timer(token /*id*/, step& now) {
    armed_ = false;
    const auto old = [&](const auto& each) { return now.time() - each.second >= remember_for; };
    std::erase_if(asked_at_, old);
    std::erase_if(seen_grants_, old);
    std::erase_if(finished_, old);
    std::erase_if(running_,
                  [&](const auto& each) { return now.time() - each.second.since >= remember_for; });
    if (wants_.empty()) {
        return;
    }
    ask(now);
    if (director_silent(now.time())) {
        pace_alone(now);
    }
    arm(now);
}

void load_pacer::ask(step& now) {
    if (!director_) {
        return;
    }
    wire::load_request request;
    request.set_sequence(++sequence_);
    for (const load_want& each : wants_) {
        wire::wanted_load* wanted = request.add_wanted();
        wanted->set_adapter(to_string(each.adapter));
        wanted->set_client_account(each.client_account);
        wanted->set_urgency_ms(each.urgency.count());
        wanted->set_prefetch(each.prefetch);
    }
    for (const auto& [grant, at] : finished_) {
        request.add_finished(grant);
    }
    asked_at_.emplace(sequence_, now.time());
    if (!unanswered_since_) {
        unanswered_since_ = now.time();
    }
    now.send(*director_, "load_director", request.SerializeAsString());
}

void load_pacer::pace_alone(step& now) {
    const double share =
        limit_.loads_per_s / static_cast<double>(std::max<std::size_t>(1, live_.size()));
    const duration interval{static_cast<std::int64_t>(std::ceil(ms_per_s / share))};
    if (!next_alone_) {
        // Nothing at first: the silent director may have just given this agent's part.
        next_alone_ = now.time() + interval;
    }
    const bool useful = !wants_.empty() && !wants_.front().prefetch;
    if (now.time() < *next_alone_ || !useful || sink_ == nullptr) {
        return;
    }
    if (sink_->on_permit(wants_.front().adapter, now.time() + permit_life, now)) {
        next_alone_ = now.time() + interval;
    }
}

void load_pacer::arm(step& now) {
    if (!armed_ && !wants_.empty()) {
        armed_ = true;
        now.emit(set_timer{std::string(name()), pace_timer, now.time() + ask_interval});
    }
}

bool load_pacer::director_silent(time_point now) const {
    return !director_ || (unanswered_since_ && now - *unanswered_since_ >= silence_limit);
}

void load_pacer::take(std::uint64_t grant, const adapter_ref& adapter, time_point expires,
                      step& now) {
    const bool used =
        now.time() < expires && sink_ != nullptr && sink_->on_permit(adapter, expires, now);
    if (used) {
        running_.emplace(grant, permitted_load{adapter, now.time()});
        return;
    }
    finished_.emplace(grant, now.time());
    ask(now);
}

} // namespace camphorgrade::placement
