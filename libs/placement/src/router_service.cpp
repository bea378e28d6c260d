#include <placement/router_service.h>

#include <wire/placement.pb.h>

#include <utility>

namespace camphorgrade::placement {

namespace {

std::vector<slot_status> slots_of(const wire::agent_report& report) {
    std::vector<slot_status> slots;
    slots.reserve(static_cast<std::size_t>(report.slots_size()));
    for (const wire::slot_report& each : report.slots()) {
        slots.push_back({each.adapter(), each.resident(), each.pins()});
    }
    return slots;
}

agent_status status_of(const wire::agent_report& report, std::vector<slot_status> slots) {
    return {.boot = report.boot(),
            .pool = report.pool(),
            .services = {report.services().begin(), report.services().end()},
            .role = report.role(),
            .data_centre = report.data_centre(),
            .leaving = report.leaving(),
            .running = report.running(),
            .free_seats = report.free_seats(),
            .short_tokens = report.short_tokens(),
            .long_tokens = report.long_tokens(),
            .unloaded_tokens = report.unloaded_tokens(),
            .tokens_per_s = report.tokens_per_s(),
            .obtainable_slots = report.obtainable_slots(),
            .victim_worth = report.victim_worth(),
            .slots = std::move(slots)};
}

} // namespace

router_service::router_service(router_settings settings) : router_(settings) {}

route router_service::choose(const route_request& request, step& now) {
    return router_.choose(request, now.time(), now.random());
}

void router_service::forget(const node_id& agent) {
    router_.forget(agent);
    last_.erase(agent);
}

void router_service::on_message(const message& received, step& now) {
    wire::agent_report report;
    if (!report.ParseFromString(received.payload)) {
        return;
    }
    last_report& last = last_[received.from];
    if (received.from_incarnation < last.life) {
        return;
    }
    if (received.from_incarnation > last.life) {
        last = {received.from_incarnation, 0, {}};
    }
    if (report.sequence() <= last.sequence) {
        return;
    }
    last.sequence = report.sequence();
    if (report.has_slots()) {
        last.slots = slots_of(report);
    }
    router_.on_report(received.from, status_of(report, last.slots),
                      duration{report.next_within_ms()}, now.time());
}

} // namespace camphorgrade::placement
