#include <serving/dispatcher.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

bool dispatcher::is_resumption(const request& entry) {
    return entry.metadata.last_event_id && entry.found_route->kind == request_kind::streaming;
}

stream_key dispatcher::stream_of(const request& entry) {
    const auto& began_by =
        is_resumption(entry) ? entry.metadata.resumed_request_id : entry.metadata.id;
    return began_by.empty() ? 0 : stream_origins::key_of(began_by);
}

std::optional<origin_source> dispatcher::find_origin(request& entry, time_point now) {
    if (auto origin = origins_.find(stream_of(entry), now)) {
        entry.service = std::move(origin->service);
        entry.stream_version = std::move(origin->version);
        return origin_source::known;
    }
    software_.observe(backends_, now);
    const auto versions = software_.of_service(entry.service);
    if (versions.size() > 1) {
        return std::nullopt;
    }
    if (!versions.empty()) {
        entry.stream_version = *versions.begin();
    }
    return origin_source::single_version;
}

void dispatcher::resume(request_handle id, request& entry, time_point now) {
    if (const auto source = find_origin(entry, now)) {
        continue_stream(id, entry, *source, now);
    } else if (stream_of(entry) != 0 && origins_.ask(stream_of(entry))) {
        entry.state = phase::resolving;
        entry.resolve_by = now + settings_.origin_answer_timeout;
    } else {
        end_unknown_stream(id, entry);
    }
}

void dispatcher::continue_stream(request_handle id, request& entry, origin_source source,
                                 time_point now) {
    effects_.emplace_back(stream_resumption{id, source, entry.stream_version.value_or("")});
    const auto& services = entry.found_route->services;
    const bool is_routed = std::any_of(services.begin(), services.end(), [&](const auto& each) {
        return each.service == entry.service;
    });
    if (!is_routed) {
        end(id, entry, end_reason::no_backend, with_jitter(settings_.placement_retry_interval));
        return;
    }
    place(id, entry, now);
}

void dispatcher::end_unknown_stream(request_handle id, request& entry) {
    effects_.emplace_back(stream_resumption{id, origin_source::unknown, {}});
    end(id, entry, end_reason::unknown_origin, with_jitter(settings_.placement_retry_interval));
}

void dispatcher::record_origin(request& entry, time_point now) {
    if (entry.found_route->kind != request_kind::streaming) {
        return;
    }
    const auto* view = backends_.find(entry.backend_id);
    if (view == nullptr || view->server.process() != entry.sent_to) {
        entry.is_retry_forbidden = true; // the version of the process that answers isn't known
        return;
    }
    if (!entry.stream_version) {
        entry.stream_version = view->server.software_version;
    }
    if (entry.found_route->is_resumable && stream_of(entry) != 0) {
        origins_.on_begun(stream_of(entry), {entry.service, *entry.stream_version}, now);
    }
}

void dispatcher::on_origin_records(const origin_records& records, time_point now) {
    origins_.on_records(records, now);
    for (auto& [id, each] : requests_) {
        if (each.state != phase::resolving) {
            continue;
        }
        if (const auto source = find_origin(each, now)) {
            continue_stream(id, each, *source, now);
        }
    }
}

std::vector<origin_message> dispatcher::take_origin_messages(time_point now) {
    if (now - versions_observed_at_ >= settings_.version_observation_interval) {
        versions_observed_at_ = now;
        software_.observe(backends_, now);
    }
    return origins_.take_messages(software_.mixed_services(), now);
}

} // namespace camphorgrade::serving
