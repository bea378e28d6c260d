#include <agent/agent_status.h>

#include <agent/backend_service.h>

#include <node/operator_service.h>
#include <node/status_sections.h>

#include <nlohmann/json.hpp>

namespace camphorgrade::agent {

namespace {

using nlohmann::json;

json describe_backend(const backend_service& backend, time_point now) {
    const auto status = backend.status(now);
    json slots = json::array();
    for (const auto& each : status.slots) {
        slots.push_back(
            {{"adapter_digest", each.adapter}, {"resident", each.resident}, {"pins", each.pins}});
    }
    return {{"ready", backend.ready()},
            {"leaving", status.leaving},
            {"running", status.running},
            {"free_seats", status.free_seats},
            {"waiting_tokens", status.short_tokens + status.long_tokens},
            {"slots", slots}};
}

void publish_backend(const backend_service& backend, metrics& all, time_point now) {
    const auto status = backend.status(now);
    all.set("camphor_running_requests", {}, status.running);
    all.set("camphor_free_seats", {}, status.free_seats);
    all.set("camphor_waiting_tokens", {},
            static_cast<double>(status.short_tokens + status.long_tokens));
    all.set("camphor_occupied_slots", {}, static_cast<double>(status.slots.size()));
}

json describe_records(const delivery::once_records& once) {
    const auto counts = once.counts();
    return {{"runs", counts.runs},
            {"replays", counts.replays},
            {"unknowns", counts.unknowns},
            {"refusals", counts.refusals},
            {"store_writes", counts.store.writes}};
}

} // namespace

void describe_agent(micro_kernel& kernel) {
    auto& operators = kernel.find<operator_service>("operators");
    auto& backend = kernel.find<backend_service>("forward");
    auto& once = kernel.find<delivery::once_records>("once");
    add_common_sections(kernel);
    operators.add_gauges([&backend, &once](metrics& all, time_point now) {
        publish_backend(backend, all, now);
        all.set("camphor_record_store_writes", {}, static_cast<double>(once.counts().store.writes));
    });
    operators.set_ready([&backend](time_point /*now*/) { return backend.ready(); });
    operators.add_section("backend_server",
                          [&backend](time_point now) { return describe_backend(backend, now); });
    operators.add_section("records",
                          [&once](time_point /*now*/) { return describe_records(once); });
}

} // namespace camphorgrade::agent
