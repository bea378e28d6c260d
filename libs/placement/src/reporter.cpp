#include <placement/reporter.h>

#include <wire/placement.pb.h>

#include <kernel/check.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::placement {

namespace {

constexpr std::uint64_t ms_per_s = 1000;

bool same_residency(const std::vector<slot_status>& a, const std::vector<slot_status>& b) {
    return std::ranges::equal(a, b, [](const slot_status& x, const slot_status& y) {
        return x.adapter == y.adapter && x.resident == y.resident;
    });
}

wire::agent_report report_of(const agent_status& status) {
    wire::agent_report report;
    report.set_boot(status.boot);
    report.set_pool(status.pool);
    for (const auto& each : status.services) {
        report.add_services(each);
    }
    report.set_role(status.role);
    report.set_data_centre(status.data_centre);
    report.set_leaving(status.leaving);
    report.set_running(status.running);
    report.set_free_seats(status.free_seats);
    report.set_short_tokens(status.short_tokens);
    report.set_long_tokens(status.long_tokens);
    report.set_unloaded_tokens(status.unloaded_tokens);
    report.set_tokens_per_s(status.tokens_per_s);
    report.set_obtainable_slots(status.obtainable_slots);
    report.set_victim_worth(status.victim_worth);
    return report;
}

void add_slots(wire::agent_report& report, const std::vector<slot_status>& slots) {
    report.set_has_slots(true);
    for (const slot_status& each : slots) {
        wire::slot_report* added = report.add_slots();
        added->set_adapter(each.adapter);
        added->set_resident(each.resident);
        added->set_pins(each.pins);
    }
}

} // namespace

reporter::reporter(reporter_settings settings) : settings_(settings) {
    CAMPHOR_PRECONDITION(settings.bytes_per_s > 0);
    CAMPHOR_PRECONDITION(settings.gateway_bytes_per_s > 0);
}

void reporter::set_agents(std::size_t agents) {
    CAMPHOR_PRECONDITION(agents > 0);
    agents_ = agents;
}

void reporter::changed(step& now) {
    const bool leaves = source_ != nullptr && !told_leaving_ && source_->status(now.time()).leaving;
    arm(leaves ? now.time() : std::max(now.time(), last_ + interval()), now);
}

duration reporter::interval_for(std::uint64_t report_size) const {
    const std::uint64_t sent = report_size * gateways_.size();
    const std::uint64_t received = report_size * agents_;
    const std::uint64_t paid = std::max(sent * ms_per_s / settings_.bytes_per_s,
                                        received * ms_per_s / settings_.gateway_bytes_per_s);
    return std::max(settings_.shortest_interval, duration{static_cast<std::int64_t>(paid)});
}

void reporter::start(step& now) {
    arm(now.time(), now);
}

void reporter::on_timer(token id, step& now) {
    if (id != armed_) {
        return;
    }
    armed_for_ = time_point{};
    report(now);
    arm(now.time() + std::max(settings_.period, interval()), now);
}

void reporter::report(step& now) {
    if (source_ == nullptr) {
        return;
    }
    const agent_status status = source_->status(now.time());
    wire::agent_report report = report_of(status);
    const bool moved = !same_residency(status.slots, told_slots_);
    if (moved || sequence_ == 0 || ++since_full_ >= settings_.full_every) {
        add_slots(report, status.slots);
        told_slots_ = status.slots;
        since_full_ = 0;
    }
    report.set_sequence(++sequence_);
    const duration latest = std::max(settings_.period, interval_for(largest_size_));
    report.set_next_within_ms(static_cast<std::uint32_t>(latest.count()));
    const std::string payload = report.SerializeAsString();
    last_size_ = payload.size();
    largest_size_ = std::max(largest_size_, last_size_);
    for (const node_id& each : gateways_) {
        now.send(each, "router", payload);
    }
    told_leaving_ = status.leaving;
    last_ = now.time();
}

void reporter::arm(time_point at, step& now) {
    if (armed_for_ != time_point{} && armed_for_ <= at) {
        return;
    }
    armed_for_ = at;
    now.emit(set_timer{std::string(name()), ++armed_, at});
}

} // namespace camphorgrade::placement
