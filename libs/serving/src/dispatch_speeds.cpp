#include <serving/dispatcher.h>

namespace camphorgrade::serving {

void dispatcher::record_latency(const request& entry, backend_view& view, time_point now) {
    const auto measured = now - entry.sent;
    if (!settings_.speeds.is_enabled) {
        backends_.on_latency(entry.backend_id, measured, entry.expected_first_byte);
    } else if (view.server.process() == entry.sent_to) {
        const auto kind = entry.metadata.model.empty() ? speed_kind::plain : speed_kind::prompt;
        speeds_.on_response(entry.sent_to, kind, measured, entry.expected_first_byte, now);
        update_latency_ratio(view, kind, now);
    }
}

void dispatcher::on_speed_samples(const std::vector<speed_sample>& samples, time_point now) {
    for (const auto& each : samples) {
        auto* view = backends_.find(each.server.id);
        const bool is_current = view != nullptr && view->server.process() == each.server;
        if (is_current && speeds_.on_peer_sample(each, now)) {
            update_latency_ratio(*view, each.kind, now);
        }
    }
}

void dispatcher::update_latency_ratio(backend_view& view, speed_kind kind, time_point now) {
    view.latency_ratio = speeds_.time_ratio(view.server.process(), kind, now);
}

} // namespace camphorgrade::serving
