#include "fleet_records.h"

#include <kernel/scaled.h>
#include <peering/stored_records.h>

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <optional>

namespace camphorgrade::entry {

namespace {

constexpr duration one_second{1'000};

/** A number from 0 to 1 that spreads gateways evenly. */
double share_of(const std::string& address) {
    const auto hash = XXH64(address.data(), address.size(), 0);
    return static_cast<double>(hash) /
           static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

const char* name_of(serving::write_outcome outcome) {
    switch (outcome) {
    case serving::write_outcome::done:
        return "done";
    case serving::write_outcome::conflict:
        return "conflict";
    case serving::write_outcome::lease_over:
        return "lease_over";
    case serving::write_outcome::refused:
        return "refused";
    case serving::write_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

fleet_records::fleet_records(const clock& clock, event_log& log, metrics& counts,
                             serving::dispatcher& dispatcher, const fleet_state& fleet,
                             serving::record_store& store, const fleet_records_settings& settings)
    : clock_(clock), log_(log), metrics_(counts), dispatcher_(dispatcher), fleet_(fleet),
      store_(store), settings_(settings),
      checkpoints_(settings.checkpoints, share_of(settings.address)), journal_(settings.origins),
      recovery_(clock, log, dispatcher, fleet, store, checkpoints_, settings.recovery) {}

void fleet_records::tick() {
    recovery_.tick();
    write_checkpoint();
    write_origins();
}

void fleet_records::on_peer_checkpoint(const serving::checkpoint_state& state) {
    checkpoints_.on_checkpoint(state, clock_.now());
}

void fleet_records::on_history_lost() {
    checkpoints_.on_history_lost(clock_.now());
}

void fleet_records::set_gateways(std::size_t count) {
    const double writes_per_s =
        std::max(settings_.store_writes_per_s * settings_.origins_write_share, 1.0);
    const auto together = scaled(one_second, static_cast<double>(count) / writes_per_s);
    journal_.set_write_interval(std::max(settings_.origins.write_interval, together));
}

void fleet_records::write_checkpoint() {
    const auto now = clock_.now();
    // Of the gateways that learn registrations from others, none knows a position to rely on.
    const bool may_write = !is_writing_checkpoint_ && !recovery_.is_due() && fleet_.follows_store();
    if (!may_write || !checkpoints_.is_due(now)) {
        return;
    }
    const auto checkpoint = dispatcher_.checkpoint(fleet_.registrations_position(), now);
    if (!checkpoint) {
        return;
    }
    is_writing_checkpoint_ = true;
    store_.write({std::string(peering::checkpoint_key), peering::encode_checkpoint(*checkpoint),
                  checkpoints_.record_revision(), 0},
                 [this, position = checkpoint->position](const serving::write_result& result) {
                     on_checkpoint_written(position, result);
                 });
}

void fleet_records::on_checkpoint_written(const serving::store_position& position,
                                          const serving::write_result& result) {
    is_writing_checkpoint_ = false;
    count_write("checkpoint", result.outcome);
    const auto now = clock_.now();
    if (result.outcome == serving::write_outcome::done) {
        checkpoints_.on_checkpoint({position, result.revision}, now);
        return;
    }
    if (result.outcome != serving::write_outcome::conflict) {
        checkpoints_.on_write_failed(now);
        return;
    }
    std::optional<serving::checkpoint_state> present;
    if (result.present) {
        const auto known = peering::decode_checkpoint(result.present->value);
        present = {known ? known->position : serving::store_position{}, result.present->revision};
    }
    checkpoints_.on_conflict(present, now);
}

void fleet_records::write_origins() {
    journal_.add(dispatcher_.take_shared_origins());
    if (const auto call = journal_.next_call(clock_.now())) {
        make(*call);
    }
}

void fleet_records::make(const serving::journal_call& call) {
    if (call.what == serving::journal_call::kind::open_lease) {
        store_.open_lease(journal_.lease_time(), [this](std::optional<std::uint64_t> lease) {
            journal_.on_lease(lease, clock_.now());
        });
        return;
    }
    const auto key = peering::origins_key(settings_.address, settings_.incarnation, call.chunk);
    store_.write({key, peering::encode_origins(call.streams), call.expected_revision, call.lease},
                 [this](const serving::write_result& result) {
                     count_write("origins", result.outcome);
                     journal_.on_written(result, clock_.now());
                 });
}

void fleet_records::count_write(const char* record, serving::write_outcome outcome) {
    metrics_.count("camphor_record_writes_total",
                   {{"record", record}, {"outcome", name_of(outcome)}});
    if (outcome != serving::write_outcome::done) {
        log_.line("record_not_written", log_category::failure)
            .text("record", record)
            .text("outcome", name_of(outcome));
    }
}

} // namespace camphorgrade::entry
