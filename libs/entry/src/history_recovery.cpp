#include "history_recovery.h"

#include <peering/stored_records.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace camphorgrade::entry {

namespace {

/** The checkpoint among the records, if it can be read and belongs to the past of this store. */
std::optional<serving::fleet_checkpoint> find_checkpoint(const serving::record_list& list) {
    for (const auto& each : list.records) {
        if (each.key != peering::checkpoint_key) {
            continue;
        }
        auto out = peering::decode_checkpoint(each.value);
        // After a return from an older copy, the changes since the position aren't all known.
        const bool is_usable = out && out->position.era == list.position.era &&
                               out->position.revision <= list.position.revision;
        return is_usable ? std::move(out) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

history_recovery::history_recovery(const clock& clock, event_log& log,
                                   serving::dispatcher& dispatcher, const fleet_state& fleet,
                                   serving::record_store& store,
                                   serving::checkpoint_schedule& checkpoints,
                                   history_recovery_settings settings)
    : clock_(clock), log_(log), dispatcher_(dispatcher), fleet_(fleet), store_(store),
      checkpoints_(checkpoints), settings_(settings), is_due_(settings.is_restart),
      retry_delay_(settings.min_retry_delay) {}

void history_recovery::tick() {
    const auto now = clock_.now();
    if (!fleet_.is_complete() || is_reading_) {
        return;
    }
    const bool knows_past = dispatcher_.knows_past(now);
    is_due_ = is_due_ || (knew_past_ && !knows_past); // after a suspension
    knew_past_ = knows_past;
    dispatcher_.set_history_final(!is_due_);
    if (is_due_ && now >= next_read_at_) {
        read_records();
    }
}

void history_recovery::read_records() {
    is_reading_ = true;
    store_.read(std::string(peering::record_prefix),
                [this](const std::optional<serving::record_list>& list) {
                    list ? on_records(*list) : retry();
                });
}

void history_recovery::on_records(const serving::record_list& list) {
    auto checkpoint = find_checkpoint(list);
    for (const auto& each : list.records) {
        if (each.key == peering::checkpoint_key) {
            const auto position = checkpoint ? checkpoint->position : serving::store_position{};
            checkpoints_.on_checkpoint({position, each.revision}, clock_.now());
            checkpoints_.on_history_lost(clock_.now()); // nobody knows how old it is
        }
    }
    // A store that names its era may have come back from a copy, so its changes aren't all.
    if (!checkpoint && list.position.era != 0) {
        apply_origins(list);
        end("no_checkpoint");
        return;
    }
    read_changes(list, std::move(checkpoint));
}

void history_recovery::read_changes(const serving::record_list& list,
                                    std::optional<serving::fleet_checkpoint> checkpoint) {
    const auto since = checkpoint ? checkpoint->position.revision : 0;
    store_.read_changes(since, [this, list, checkpoint = std::move(checkpoint),
                                read_at = clock_.now()](const serving::changes_result& result) {
        const auto* changes = std::get_if<serving::recorded_changes>(&result);
        const auto* fault = std::get_if<serving::changes_fault>(&result);
        if (changes != nullptr && changes->era == list.position.era) {
            on_changes(*changes, read_at, list, checkpoint);
        } else if (fault != nullptr && *fault == serving::changes_fault::history_gone) {
            apply_origins(list);
            end("history_gone");
        } else {
            retry();
        }
    });
}

void history_recovery::on_changes(const serving::recorded_changes& changes, time_point read_at,
                                  const serving::record_list& list,
                                  std::optional<serving::fleet_checkpoint> checkpoint) {
    // Origins first: streams of several versions can't go on without them.
    const auto streams = apply_origins(list);
    log_.line("history_recovered")
        .flag("has_checkpoint", checkpoint.has_value())
        .number("reach_ms", checkpoint ? checkpoint->reach.count() : -1)
        .number("registrations", static_cast<std::int64_t>(changes.registrations.size()))
        .number("catalogues", static_cast<std::int64_t>(changes.catalogues.size()))
        .number("streams", static_cast<std::int64_t>(streams));
    dispatcher_.on_history_recovered({std::move(checkpoint), changes, read_at}, clock_.now());
    end("recovered");
}

std::size_t history_recovery::apply_origins(const serving::record_list& list) {
    auto records = list.records;
    // The oldest first, as those that were added last are kept when there are too many.
    std::sort(records.begin(), records.end(),
              [](const auto& a, const auto& b) { return a.revision < b.revision; });
    serving::origin_records out;
    for (const auto& each : records) {
        if (each.key.compare(0, peering::origins_prefix.size(), peering::origins_prefix) != 0) {
            continue;
        }
        const auto chunk = peering::decode_origins(each.value);
        if (!chunk) {
            log_.line("record_passed_over").text("key", each.key).text("reason", "unreadable");
            continue;
        }
        for (const auto& [origin, streams] : *chunk) {
            for (const auto stream : streams) {
                out.records.push_back({stream, origin, duration::zero()});
            }
        }
    }
    const auto count = out.records.size();
    if (count > 0) {
        dispatcher_.on_origin_records(out, clock_.now());
    }
    return count;
}

void history_recovery::retry() {
    is_reading_ = false;
    next_read_at_ = clock_.now() + retry_delay_;
    retry_delay_ = std::min(retry_delay_ * 2, settings_.max_retry_delay);
    log_.line("history_read_failed").number("retry_ms", (next_read_at_ - clock_.now()).count());
}

void history_recovery::end(const char* result) {
    is_reading_ = false;
    is_due_ = false;
    retry_delay_ = settings_.min_retry_delay;
    log_.line("history_read").text("result", result);
}

} // namespace camphorgrade::entry
