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
    observe_software(now);
    if (!is_history_known(entry, now) || !seems_single_version(entry, now) ||
        !software_exchange_.is_confirmed(now)) {
        return std::nullopt;
    }
    set_only_version(entry, now);
    return origin_source::single_version;
}

void dispatcher::set_only_version(request& entry, time_point now) const {
    const auto versions =
        software_.of_service(entry.service, oldest_stream(*entry.found_route, now));
    if (!versions.empty()) {
        entry.stream_version = *versions.begin();
    }
}

bool dispatcher::continue_at_only_version(request_handle id, request& entry, time_point now) {
    // Those that were asked know nothing newer, so nobody can have used a server of a later
    // version.
    const bool is_newest =
        software_exchange_.confirmed(now) == software_exchange::confirmation::nearly_all;
    if (!is_newest || !seems_single_version(entry, now)) {
        return false;
    }
    set_only_version(entry, now);
    continue_stream(id, entry, origin_source::single_version, now);
    return true;
}

bool dispatcher::seems_single_version(const request& entry, time_point now) const {
    const auto& matched = *entry.found_route;
    const auto since = oldest_stream(matched, now);
    return matched.services.size() <= 1 && !routes_.was_rerouted(matched, since) &&
           software_.is_known_since(since) &&
           software_.of_service(entry.service, since).size() <= 1;
}

bool dispatcher::is_history_known(const request& entry, time_point now) const {
    return software_.is_known_since(oldest_stream(*entry.found_route, now), now);
}

time_point dispatcher::oldest_stream(const route& matched, time_point now) const {
    const bool has_timeout = matched.timeout > duration::zero();
    const auto age =
        has_timeout ? matched.timeout * settings_.stream_age_timeouts + settings_.stream_age_margin
                    : settings_.software.memory;
    return now - std::min(age, settings_.software.memory);
}

void dispatcher::observe_software(time_point now) {
    versions_observed_at_ = now;
    software_.observe(backends_, registrations_known_, now);
}

void dispatcher::observe_software_when_due(time_point now) {
    if (now - versions_observed_at_ >= settings_.version_observation_interval) {
        observe_software(now);
    }
}

bool dispatcher::on_registration(const backend_server& server, time_point now) {
    backends_.put(server);
    software_.add(server, now);
    const bool becomes_cold = cold_.on_registration(server, now);
    if (becomes_cold) {
        permits_.on_limit_changed(server.process(), now);
    }
    return becomes_cold;
}

void dispatcher::resume(request_handle id, request& entry, time_point now) {
    if (const auto source = find_origin(entry, now)) {
        continue_stream(id, entry, *source, now);
        return;
    }
    if (entry.state != phase::resolving) {
        entry.state = phase::resolving;
        entry.resolve_by = now + settings_.origin_answer_timeout;
    }
    const bool is_known = is_history_known(entry, now);
    const bool is_confirmed = software_exchange_.is_confirmed(now);
    const bool asks_history = (!is_known || !is_confirmed) && software_exchange_.ask(now);
    const bool is_guess_possible = is_known && seems_single_version(entry, now);
    const bool awaits_history =
        asks_history && (is_guess_possible || software_exchange_.expects_answer(now));
    if (!awaits_history) {
        ask_origin(entry, now);
    }
    if (!asks_history && !entry.has_asked_origin) {
        end_unknown_stream(id, entry, now);
    }
}

bool dispatcher::ask_origin(request& entry, time_point now) {
    if (entry.has_asked_origin || stream_of(entry) == 0 || !origins_.ask(stream_of(entry))) {
        return false;
    }
    entry.has_asked_origin = true;
    entry.resolve_by = now + settings_.origin_answer_timeout;
    return true;
}

void dispatcher::end_overdue_resumption(request_handle id, request& entry, time_point now) {
    if (now < entry.resolve_by) {
        return;
    }
    const bool is_cut_off = !software_exchange_.is_confirmed(now);
    if (!is_cut_off && ask_origin(entry, now)) {
        return;
    }
    if (!continue_at_only_version(id, entry, now)) {
        end_unknown_stream(id, entry, now);
    }
}

void dispatcher::continue_stream(request_handle id, request& entry, origin_source source,
                                 time_point now) {
    effects_.emplace_back(describe_resumption(id, entry, source, now));
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

stream_resumption dispatcher::describe_resumption(request_handle id, const request& entry,
                                                  origin_source source, time_point now) const {
    stream_resumption out;
    out.request = id;
    out.source = source;
    out.version = entry.stream_version.value_or("");
    if (registrations_known_) {
        out.registrations_age = now - registrations_known_->until;
    }
    out.history = software_.known(now);
    const auto since = oldest_stream(*entry.found_route, now);
    out.known_versions = software_.of_service(entry.service, since).size();
    return out;
}

void dispatcher::end_unknown_stream(request_handle id, request& entry, time_point now) {
    effects_.emplace_back(describe_resumption(id, entry, origin_source::unknown, now));
    end(id, entry, end_reason::unknown_origin, unknown_stream_retry_after(entry, now));
}

duration dispatcher::unknown_stream_retry_after(const request& entry, time_point now) {
    const auto known = software_.known(now);
    const bool may_learn = !is_history_final_ || software_exchange_.expects_answer(now) || !known ||
                           known->until_age > settings_.software.max_registration_age;
    if (may_learn || is_history_known(entry, now)) {
        return with_jitter(settings_.placement_retry_interval);
    }
    // No stream that can still be resumed then is older than what is known.
    const auto needed = now - oldest_stream(*entry.found_route, now);
    return with_added_jitter(needed - known->from_age);
}

void dispatcher::record_origin(request& entry, time_point now) {
    if (entry.found_route->kind != request_kind::streaming) {
        return;
    }
    const auto* view = backends_.find(entry.backend_id);
    if (view == nullptr || view->server.process() != entry.sent_to || view->is_replaced) {
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
    continue_resolved_streams(now);
}

void dispatcher::set_software_peers(const std::string& own,
                                    const std::vector<std::string>& gateways,
                                    const std::vector<std::string>& agents) {
    software_exchange_.set_gateways(own, gateways);
    software_exchange_.set_agents(agents);
}

void dispatcher::on_software_message(const std::string& from, const software_message& message,
                                     time_point now) {
    software_exchange_.on_message(from, message, now);
    continue_resolved_streams(now);
}

void dispatcher::continue_resolved_streams(time_point now) {
    for (auto& [id, each] : requests_) {
        if (each.state == phase::resolving) {
            resume(id, each, now);
        }
    }
}

std::vector<origin_message> dispatcher::take_origin_messages(time_point now) {
    observe_software_when_due(now);
    // While the history isn't known up to now, several versions may serve, so all origins are
    // shared.
    const bool knows_all = software_.is_known_since(now - settings_.software.memory, now);
    auto shared = knows_all ? software_.mixed_services() : software_.services();
    shared.merge(routes_.shared_services());
    return origins_.take_messages(shared, now);
}

} // namespace camphorgrade::serving
