#include <delivery/quarantine.h>

#include <kernel/check.h>

#include <wire/quarantine.pb.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::delivery {

namespace {

constexpr token due_token = group_commit::token_limit;
constexpr token sync_token = group_commit::token_limit + 1;

constexpr std::string_view deaths_directory = "death/";
constexpr std::string_view cleared_directory = "cleared/";

/** Records in the store live between a half of `keep` and the whole of it. */
group_commit_settings commit_settings(const quarantine_settings& settings) {
    group_commit_settings commit;
    commit.lease.retention = settings.keep / 2;
    commit.lease.bucket = settings.keep / 4;
    return commit;
}

void write_id(const death_id& id, wire::death_id& out) {
    out.set_node(id.node.value());
    out.set_incarnation(id.life.value());
    out.set_sequence(id.sequence);
}

death_id read_id(const wire::death_id& id) {
    return {node_id{id.node()}, incarnation{id.incarnation()}, id.sequence()};
}

std::string key_of(const death_id& id) {
    return id.node.value() + "/" + std::to_string(id.life.value()) + "/" +
           std::to_string(id.sequence);
}

wire::death_record record_of(const death_id& id, const std::vector<death_suspect>& suspects) {
    wire::death_record record;
    write_id(id, *record.mutable_id());
    for (const death_suspect& each : suspects) {
        auto* suspect = record.add_suspects();
        suspect->set_fingerprint(to_bytes(each.content));
        suspect->set_client_account(each.client_account);
        suspect->set_service(each.service);
    }
    return record;
}

} // namespace

fingerprint quarantine_fingerprint(std::string_view client_account, std::string_view service,
                                   std::string_view adapter, std::string_view body) {
    return fingerprint_of({client_account, service, adapter, body});
}

quarantine::quarantine(quarantine_settings settings, const peer_directory& peers)
    : settings_(std::move(settings)), peers_(peers),
      commit_("quarantine", commit_settings(settings_)) {
    CAMPHOR_PRECONDITION(settings_.keep >= duration{4});
    CAMPHOR_PRECONDITION(settings_.resend_after > duration{0});
    CAMPHOR_PRECONDITION(settings_.sync_interval > duration{0});
    CAMPHOR_PRECONDITION(settings_.deaths_to_refuse >= 2);
}

void quarantine::start(step& now) {
    next_sync_ = now.time();
    sync(now);
    arm(now);
}

std::vector<death_id> quarantine::counted(const fingerprint& content, time_point at) const {
    std::vector<death_id> found;
    const auto deaths = by_content_.find(content);
    if (deaths == by_content_.end()) {
        return found;
    }
    for (const death_id& id : deaths->second) {
        const bool over = deaths_.at(id).ends <= at;
        if (!over && !cleared_.contains({id, content})) {
            found.push_back(id);
        }
    }
    return found;
}

quarantine_standing quarantine::standing(const fingerprint& content, time_point at) const {
    const std::vector<death_id> deaths = counted(content, at);
    if (deaths.empty()) {
        return {};
    }
    std::vector<time_point> ends;
    ends.reserve(deaths.size());
    for (const death_id& id : deaths) {
        ends.push_back(deaths_.at(id).ends);
    }
    std::sort(ends.begin(), ends.end(), std::greater<>());
    if (ends.size() < settings_.deaths_to_refuse) {
        return {quarantine_verdict::run_alone, ends.front() - at};
    }
    // It ends when too few deaths are left.
    return {quarantine_verdict::refuse, ends[settings_.deaths_to_refuse - 1] - at};
}

death_id quarantine::report_death(const std::vector<death_suspect>& running,
                                  death_listener& listener, step& now) {
    forget(now.time());
    death_id id{now.self(), now.life(), ++last_death_};
    std::vector<death_suspect> suspects = running;
    if (suspects.size() > settings_.most_suspects) {
        suspects.resize(settings_.most_suspects);
    }
    const wire::death_record record = record_of(id, suspects);
    const time_point ends = now.time() + settings_.keep;
    add_death(id, {std::move(suspects), ends});
    commit_.submit({settings_.key_prefix + std::string(deaths_directory) + key_of(id), 0,
                    record.SerializeAsString()},
                   write_urgency::soon, now);
    wire::quarantine_message content;
    *content.mutable_death() = record;
    outgoing out;
    out.ends = ends;
    out.listener = &listener;
    out.death = id;
    out.share_by = now.time() + settings_.share_timeout;
    broadcast(std::move(content), std::move(out), now);
    return id;
}

bool quarantine::add_death(const death_id& id, known_death added) {
    if (deaths_.contains(id) || forgotten_.contains(id)) {
        return false;
    }
    for (const death_suspect& each : added.suspects) {
        by_content_[each.content].insert(id);
    }
    deaths_.emplace(id, std::move(added));
    if (deaths_.size() > settings_.most_deaths) {
        const auto oldest =
            std::min_element(deaths_.begin(), deaths_.end(), [](const auto& a, const auto& b) {
                return a.second.ends < b.second.ends;
            });
        forget_death(oldest);
    }
    return true;
}

void quarantine::forget_death(std::map<death_id, known_death>::iterator at) {
    const auto& [id, death] = *at;
    for (const death_suspect& each : death.suspects) {
        const auto deaths = by_content_.find(each.content);
        if (deaths == by_content_.end()) {
            continue;
        }
        deaths->second.erase(id);
        if (deaths->second.empty()) {
            by_content_.erase(deaths);
        }
    }
    forgotten_.emplace(id, death.ends + settings_.keep);
    deaths_.erase(at);
}

void quarantine::forget(time_point at) {
    for (auto each = deaths_.begin(); each != deaths_.end();) {
        const auto next = std::next(each);
        if (each->second.ends <= at) {
            forget_death(each);
        }
        each = next;
    }
    std::erase_if(cleared_, [&](const auto& each) { return each.second <= at; });
    std::erase_if(forgotten_, [&](const auto& each) { return each.second <= at; });
}

void quarantine::on_finished(const fingerprint& content, step& now) {
    const std::vector<death_id> deaths = counted(content, now.time());
    if (!deaths.empty() && deaths.size() < settings_.deaths_to_refuse) {
        clear(content, deaths, now);
    }
}

bool quarantine::lift(const fingerprint& content, step& now) {
    const std::vector<death_id> deaths = counted(content, now.time());
    if (deaths.empty()) {
        return false;
    }
    clear(content, deaths, now);
    return true;
}

void quarantine::clear(const fingerprint& content, const std::vector<death_id>& deaths, step& now) {
    wire::suspect_cleared record;
    record.set_fingerprint(to_bytes(content));
    time_point ends = now.time();
    for (const death_id& each : deaths) {
        write_id(each, *record.add_deaths());
        ends = std::max(ends, deaths_.at(each).ends);
        add_clearance(content, each, now.time() + 2 * settings_.keep);
    }
    const death_id id{now.self(), now.life(), ++last_death_};
    commit_.submit({settings_.key_prefix + std::string(cleared_directory) + key_of(id), 0,
                    record.SerializeAsString()},
                   write_urgency::lazy, now);
    wire::quarantine_message message;
    *message.mutable_cleared() = record;
    outgoing out;
    out.ends = ends;
    broadcast(std::move(message), std::move(out), now);
}

void quarantine::add_clearance(const fingerprint& content, const death_id& death, time_point ends) {
    cleared_.try_emplace({death, content}, ends);
}

void quarantine::broadcast(wire::quarantine_message content, outgoing out, step& now) {
    const std::uint64_t sequence = ++last_sequence_;
    content.set_sequence(sequence);
    out.payload = content.SerializeAsString();
    out.next_send = now.time();
    out.wait = settings_.resend_after;
    for (const node_id& each : peers_.peers()) {
        if (each != now.self()) {
            out.unacknowledged.insert(each);
        }
    }
    outgoing_.emplace(sequence, std::move(out));
    resend(now);
    arm(now);
}

void quarantine::resend(step& now) {
    for (auto& [sequence, out] : outgoing_) {
        if (out.next_send > now.time()) {
            continue;
        }
        for (const node_id& each : out.unacknowledged) {
            now.send(each, "quarantine", out.payload);
        }
        out.next_send = now.time() + out.wait;
        out.wait = std::min(out.wait * 2, settings_.most_resend_after);
    }
}

void quarantine::on_message(const message& received, step& now) {
    wire::quarantine_message content;
    if (!content.ParseFromString(received.payload)) {
        return;
    }
    if (content.has_acknowledged()) {
        acknowledged(content.acknowledged().sequence(), received.from);
        tell_listeners(now);
        arm(now);
        return;
    }
    if (content.has_death()) {
        learn(content.death(), now);
    } else if (content.has_cleared()) {
        learn(content.cleared(), now);
    }
    wire::quarantine_message answer;
    answer.mutable_acknowledged()->set_sequence(content.sequence());
    now.send(received.from, "quarantine", answer.SerializeAsString());
}

void quarantine::acknowledged(std::uint64_t sequence, const node_id& by) {
    const auto found = outgoing_.find(sequence);
    if (found != outgoing_.end()) {
        found->second.unacknowledged.erase(by);
    }
}

void quarantine::learn(const wire::death_record& record, step& now) {
    known_death death;
    death.ends = now.time() + settings_.keep - duration{std::max<std::int64_t>(0, record.age_ms())};
    for (const auto& each : record.suspects()) {
        if (death.suspects.size() < settings_.most_suspects) {
            death.suspects.push_back({fingerprint_from_bytes(each.fingerprint()),
                                      each.client_account(), each.service()});
        }
    }
    add_death(read_id(record.id()), std::move(death));
}

void quarantine::learn(const wire::suspect_cleared& record, step& now) {
    const fingerprint content = fingerprint_from_bytes(record.fingerprint());
    for (const auto& each : record.deaths()) {
        add_clearance(content, read_id(each), now.time() + 2 * settings_.keep);
    }
}

void quarantine::learn_all(const kv_range_result& found, step& now) {
    for (const kv_entry& each : found.entries) {
        const std::string_view key = std::string_view(each.key).substr(settings_.key_prefix.size());
        if (key.starts_with(deaths_directory)) {
            wire::death_record record;
            if (record.ParseFromString(each.value)) {
                learn(record, now);
            }
        } else if (key.starts_with(cleared_directory)) {
            wire::suspect_cleared record;
            if (record.ParseFromString(each.value)) {
                learn(record, now);
            }
        }
    }
}

void quarantine::sync(step& now) {
    if (syncing_ || now.time() < next_sync_) {
        return;
    }
    syncing_ = true;
    now.emit(call_kv{"quarantine", sync_token,
                     kv_range{settings_.key_prefix, kv_prefix_end(settings_.key_prefix)}});
}

void quarantine::on_kv_reply(token id, const kv_reply& reply, step& now) {
    if (id < group_commit::token_limit) {
        // Keys are unique: whatever was found under one is our own record.
        commit_.on_kv_reply(id, reply, now);
        return;
    }
    syncing_ = false;
    const duration spread{static_cast<duration::rep>(
        now.random().below(static_cast<std::uint64_t>(settings_.sync_interval.count())))};
    next_sync_ = now.time() + settings_.sync_interval / 2 + spread;
    if (const auto* found = std::get_if<kv_range_result>(&reply)) {
        learn_all(*found, now);
    } else {
        next_sync_ = now.time() + settings_.share_timeout;
    }
    arm(now);
}

void quarantine::on_timer(token id, step& now) {
    if (id < group_commit::token_limit) {
        commit_.on_timer(id, now);
        return;
    }
    armed_.reset();
    forget(now.time());
    resend(now);
    tell_listeners(now);
    sync(now);
    arm(now);
}

void quarantine::tell_listeners(step& now) {
    for (auto each = outgoing_.begin(); each != outgoing_.end();) {
        outgoing& out = each->second;
        const bool everywhere = out.unacknowledged.empty();
        if (out.listener != nullptr && (everywhere || now.time() >= out.share_by)) {
            std::exchange(out.listener, nullptr)->on_death_shared(out.death, everywhere, now);
        }
        const bool over = everywhere || now.time() >= out.ends;
        each = over ? outgoing_.erase(each) : std::next(each);
    }
}

void quarantine::arm(step& now) {
    time_point due = syncing_ ? now.time() + settings_.sync_interval : next_sync_;
    for (const auto& [sequence, out] : outgoing_) {
        due = std::min(due, out.unacknowledged.empty() ? now.time() : out.next_send);
        if (out.listener != nullptr) {
            due = std::min(due, out.share_by);
        }
    }
    if (armed_ && *armed_ >= now.time() && *armed_ <= due) {
        return;
    }
    armed_ = due;
    now.emit(set_timer{"quarantine", due_token, due});
}

std::vector<quarantine_view> quarantine::list(time_point at) const {
    std::vector<quarantine_view> views;
    for (const auto& each : by_content_) {
        const fingerprint& content = each.first;
        const std::vector<death_id> deaths = counted(content, at);
        if (deaths.empty()) {
            continue;
        }
        const auto& suspects = deaths_.at(deaths.front()).suspects;
        const auto same = [&](const death_suspect& one) { return one.content == content; };
        const auto suspect = std::find_if(suspects.begin(), suspects.end(), same);
        CAMPHOR_INVARIANT(suspect != suspects.end());
        views.push_back({*suspect, deaths.size(), standing(content, at)});
    }
    return views;
}

} // namespace camphorgrade::delivery
