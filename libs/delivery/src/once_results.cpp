#include "once_record_codec.h"

#include <delivery/once_records.h>

#include <wire/once.pb.h>

#include <algorithm>

/** @file The part of once_records that acts on what the key-value service holds. */
namespace camphorgrade::delivery {

void once_records::on_result(const cas_result& result, step& now) {
    const auto at = entries_.find(result.key);
    const bool expected =
        at != entries_.end() && result.looked_up == (at->second.state == entry_state::watching);
    if (!expected) {
        return;
    }
    if (result.applied) {
        on_applied(at, result.revision, now);
    } else {
        on_found(at, result.found, now);
    }
}

void once_records::on_applied(entry_ref at, std::int64_t revision, step& now) {
    entry& written = at->second;
    switch (written.state) {
    case entry_state::starting:
        written.revision = revision;
        run_next(at, now);
        break;
    case entry_state::recording:
        granted_.erase(written.sequence);
        remember(at->first, written, now);
        entries_.erase(at);
        break;
    case entry_state::releasing:
        if (written.waiters.empty()) {
            entries_.erase(at);
        } else {
            submit_start(at, 0, now);
        }
        break;
    case entry_state::running:
    case entry_state::watching:
        break;
    }
}

void once_records::on_found(entry_ref at, const std::optional<kv_entry>& found, step& now) {
    entry& other = at->second;
    if (other.state == entry_state::recording) {
        outcome_found(at, found, now);
        return;
    }
    const bool released = other.state == entry_state::releasing;
    if (released && other.waiters.empty()) {
        entries_.erase(at);
        return;
    }
    start_found(at, found, now);
}

void once_records::start_found(entry_ref at, const std::optional<kv_entry>& found, step& now) {
    if (at->second.waiters.empty() && !found) {
        entries_.erase(at);
        return;
    }
    if (!found) {
        submit_start(at, 0, now);
        return;
    }
    const std::optional<wire::once_record> record = parse_once_record(*found);
    if (!record) {
        decide_all(at->second, once_unknown{});
        entries_.erase(at);
        return;
    }
    const bool own_life =
        record->node() == now.self().value() && record->incarnation() == now.life().value();
    const bool own_write = own_life && record->sequence() == at->second.sequence;
    if (own_write && at->second.state == entry_state::starting && !record->has_outcome()) {
        at->second.revision = found->mod_revision;
        run_next(at, now);
        return;
    }
    other_record_found(at, *found, *record, now);
}

void once_records::other_record_found(entry_ref at, const kv_entry& found,
                                      const wire::once_record& record, step& now) {
    entry& waiting = at->second;
    const bool own_node = record.node() == now.self().value();
    const bool own_life = own_node && record.incarnation() == now.life().value();
    waiting.content = fingerprint_from_bytes(record.fingerprint());
    refuse_others(waiting, waiting.content);
    if (waiting.waiters.empty()) {
        entries_.erase(at);
    } else if (record.has_outcome()) {
        waiting.outcome = read_outcome(record.outcome());
        remember(at->first, waiting, now);
        decide_all(waiting, once_replay{waiting.outcome});
        entries_.erase(at);
    } else if (own_life && !granted_.contains(record.sequence())) {
        submit_start(at, found.mod_revision, now);
    } else if (own_node) {
        decide_all(waiting, once_unknown{});
        entries_.erase(at);
    } else {
        watch(at, now);
    }
}

void once_records::watch(entry_ref at, step& now) {
    entry& watching = at->second;
    if (watching.waiters.empty()) {
        entries_.erase(at);
        return;
    }
    if (watching.state != entry_state::watching) {
        watching.state = entry_state::watching;
        watching.watch_until = now.time() + settings_.watch_for;
        watching.watch_wait = settings_.watch_interval;
    } else if (now.time() >= watching.watch_until) {
        decide_all(watching, once_unknown{settings_.retry_after});
        entries_.erase(at);
        return;
    }
    watching.next_look = std::min(now.time() + watching.watch_wait, watching.watch_until);
    watching.watch_wait *= 2;
    watched_.emplace(watching.next_look, at->first);
    arm(watching.next_look, now);
}

void once_records::look_at_watched(step& now) {
    while (!watched_.empty() && watched_.begin()->first <= now.time()) {
        const auto [due, key] = *watched_.begin();
        watched_.erase(watched_.begin());
        const auto at = entries_.find(key);
        const bool current = at != entries_.end() && at->second.state == entry_state::watching &&
                             at->second.next_look == due;
        if (current) {
            commit_.look_up(key, now);
        }
    }
    if (!watched_.empty()) {
        arm(watched_.begin()->first, now);
    }
}

void once_records::outcome_found(entry_ref at, const std::optional<kv_entry>& found, step& now) {
    entry& recording = at->second;
    const std::optional<wire::once_record> record =
        found ? parse_once_record(*found) : std::nullopt;
    const bool own = record && record->node() == now.self().value() &&
                     record->incarnation() == now.life().value() &&
                     record->sequence() == recording.sequence;
    if (own && !record->has_outcome()) {
        recording.revision = found->mod_revision;
        submit_outcome(at, now);
        return;
    }
    granted_.erase(recording.sequence);
    remember(at->first, recording, now);
    entries_.erase(at);
}

} // namespace camphorgrade::delivery
