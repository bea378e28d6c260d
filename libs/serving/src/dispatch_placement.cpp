#include <serving/dispatcher.h>

#include <kernel/check.h>
#include <kernel/scaled.h>

#include <algorithm>

namespace camphorgrade::serving {

void dispatcher::place(request_handle id, request& entry, time_point now) {
    placement_request wanted;
    wanted.service = entry.service;
    wanted.base_model = entry.metadata.model;
    wanted.weights = entry.metadata.weights_name();
    const auto version = versions_.find(wanted.weights);
    entry.version = version == versions_.end() ? 0 : version->second;
    wanted.min_version = entry.version;
    wanted.prompt_tokens = entry.metadata.prompt_tokens;
    wanted.output_tokens = entry.metadata.max_output_tokens;
    wanted.prompt_parts = entry.metadata.prompt_parts;
    wanted.objective = entry.found_route->latency_objective;
    wanted.excluded = entry.excluded;
    wanted.excludes_replaced = cold_.has_cold_rate(entry.service);
    wanted.software_version = entry.stream_version;
    wanted.waiting_backend_id = entry.backend_id;
    wanted.position = effective_limits_.is_empty() ? 0 : waiting_ahead(id, entry);
    const auto chosen = placement_chooser_.choose(backends_, permits_, wanted, now);
    if (const auto* none = std::get_if<no_placement>(&chosen.target)) {
        end_without_placement(id, entry, *none, now);
        return;
    }
    const auto* target = std::get_if<placement>(&chosen.target);
    const auto budget = std::min(scaled(entry.deadline - now, settings_.usable_time_share),
                                 caller_timeout(entry) - (now - entry.arrived));
    if (target->time_to_first_byte > budget && is_limited_by_shutdown(entry)) {
        end_for_shutdown(id, entry);
        return;
    }
    if (target->time_to_first_byte > budget) {
        const auto excess = target->time_to_first_byte - budget;
        end(id, entry, end_reason::no_capacity,
            target->permit_wait > duration::zero() ? with_added_jitter(excess)
                                                   : with_jitter(excess));
        return;
    }
    if (chosen.interest) {
        permits_.on_interest(*chosen.interest, now);
    }
    if (target->is_ready) {
        send(id, entry, *target, now);
    } else {
        wait(id, entry, *target, now);
    }
}

void dispatcher::end_without_placement(request_handle id, request& entry,
                                       const no_placement& no_target, time_point now) {
    const auto reason = entry.refusals > 0       ? end_reason::refused
                        : no_target.available_at ? end_reason::no_capacity
                                                 : end_reason::no_backend;
    if (!no_target.available_at) {
        end(id, entry, reason, retry_after_recovery(now));
        return;
    }
    end(id, entry, reason, with_added_jitter(*no_target.available_at - now));
}

bool dispatcher::set_evacuations(const evacuation_state& state, time_point now) {
    if (evacuations_ && state.position <= evacuations_->position) {
        return false;
    }
    evacuations_ = state;
    if (state.data_centres == backends_.evacuated()) {
        return false;
    }
    backends_.set_evacuated(state.data_centres);
    for (const auto& [id, view] : backends_.all()) {
        if (view.is_evacuated) {
            reassign_waiting_requests(id, now);
        }
    }
    return true;
}

void dispatcher::reassign_waiting_requests(const std::string& backend_id, time_point now) {
    for (auto& [id, each] : requests_) {
        if (each.state == phase::waiting && each.backend_id == backend_id) {
            detach_from_backend(each);
            place(id, each, now);
        }
    }
}

void dispatcher::send_waiting_requests(const std::string& backend_id, time_point now) {
    auto* view = backends_.find(backend_id);
    if (view == nullptr || !backend_registry::accepts_requests(*view, now)) {
        return;
    }
    for (auto& [id, each] : requests_) {
        if (each.state != phase::waiting || each.backend_id != backend_id) {
            continue;
        }
        const bool has_weights =
            each.metadata.model.empty() ||
            backends_.holds(*view, each.weights.name, each.weights.version, now);
        const bool is_other_version =
            each.stream_version && *each.stream_version != view->server.software_version;
        if (!has_weights || is_other_version || !permits_.may_send(view->server.process(), now)) {
            continue;
        }
        each.uncached = uncached_tokens(each, *view);
        if (is_limited_by_shutdown(each) &&
            now + estimate_first_byte(each, *view, now) > each.deadline) {
            end_for_shutdown(id, each);
        } else {
            detach_from_backend(each);
            send(id, each, {backend_id, true, {}, {}}, now);
        }
    }
}

std::uint64_t dispatcher::uncached_tokens(const request& entry, backend_view& view) {
    const auto cached = view.prompts.cached_tokens(entry.weights.name, entry.metadata.prompt_parts);
    return entry.metadata.prompt_tokens - std::min(entry.metadata.prompt_tokens, cached);
}

duration dispatcher::estimate_first_byte(const request& entry, const backend_view& view,
                                         time_point now) const {
    if (entry.metadata.model.empty()) {
        return settings_.placement_estimates.plain_request_time;
    }
    const auto tokens = backends_.queued_prompt_tokens(view, now) + entry.uncached;
    return duration{static_cast<duration::rep>(
        static_cast<double>(tokens) / settings_.placement_estimates.prefill_tokens_per_ms)};
}

void dispatcher::wait(request_handle id, request& entry, const placement& target, time_point now) {
    auto* view = backends_.find(target.backend_id);
    CAMPHOR_INVARIANT(view != nullptr);
    entry.state = phase::waiting;
    entry.placed = now;
    entry.backend_id = target.backend_id;
    entry.weights = {entry.metadata.weights_name(), entry.version};
    if (!entry.metadata.model.empty()) {
        ++view->demand[entry.weights].waiting;
    }
    effects_.emplace_back(
        wait_for_backend{id, target.backend_id, target.time_to_first_byte, target.permit_wait});
}

} // namespace camphorgrade::serving
