#include <serving/dispatcher.h>

#include <kernel/check.h>
#include <kernel/scaled.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

dispatcher::dispatcher(dispatcher_settings settings, std::string own_data_centre,
                       std::uint64_t seed)
    : settings_(settings), random_(seed), backends_({}), limiter_(settings.limits),
      retries_(settings.retries), crashes_({}), parts_(settings.crashing_parts),
      limits_(settings.server_limits), effective_limits_(limits_, cold_),
      permits_(effective_limits_, settings.permits), store_recovery_(settings.store_recovery),
      origins_(settings.origins), speeds_(settings.speeds), software_(settings.software),
      software_exchange_(software_, settings.software_exchange), routes_(settings.software.memory),
      placement_chooser_(settings.placement_estimates, std::move(own_data_centre)) {}

void dispatcher::set_catalogue(service_catalogue catalogue, time_point now) {
    if (catalogue_ && catalogue.version <= catalogue_->catalogue().version) {
        return;
    }
    limiter_.set_catalogue(catalogue, now);
    cold_.set_catalogue(catalogue);
    routes_.on_catalogue(catalogue_.get(), catalogue, now);
    catalogue_ = std::make_shared<const catalogue_index>(std::move(catalogue));
}

void dispatcher::set_adapter_version(const std::string& weights, std::uint64_t version) {
    auto& known = versions_[weights];
    known = std::max(known, version);
}

request_handle dispatcher::on_request(request_metadata metadata, std::uint64_t fingerprint,
                                      time_point now) {
    const auto id = next_handle_++;
    auto& added = requests_[id];
    added.metadata = std::move(metadata);
    added.fingerprint = fingerprint;
    added.catalogue = catalogue_;
    added.arrived = now;
    duration retry_after{};
    if (const auto reason = admit(added, retry_after, now)) {
        end(id, added, *reason, retry_after);
        return id;
    }
    retries_.on_request(added.service, now);
    if (is_resumption(added)) {
        resume(id, added, now);
    } else {
        place(id, added, now);
    }
    return id;
}

duration dispatcher::caller_timeout(const request& entry) const {
    const auto& matched = *entry.found_route;
    return std::max({settings_.min_caller_timeout,
                     matched.latency_objective * settings_.caller_timeout_objectives,
                     matched.longest_pause * settings_.caller_timeout_pauses});
}

duration dispatcher::with_jitter(duration delay) {
    // Jitter keeps callers that were refused together from retrying together.
    const double spread = 0.75 + 0.5 * random_.unit();
    return std::clamp(scaled(delay, spread), settings_.min_retry_after, settings_.max_retry_after);
}

duration dispatcher::with_added_jitter(duration delay) {
    // Never earlier than what servers allow.
    const double spread = 1.0 + 0.25 * random_.unit();
    return std::max(scaled(delay, spread), settings_.min_retry_after);
}

duration dispatcher::retry_after_recovery(time_point now) {
    // Jitter only adds to the wait: a retry that comes too early uses up one of few attempts.
    const double spread = 1.0 + 0.5 * random_.unit();
    const auto wait = scaled(store_recovery_.complete_by(now) - now, spread);
    return std::clamp(std::max(wait, with_jitter(settings_.placement_retry_interval)),
                      settings_.min_retry_after, settings_.max_retry_after);
}

void dispatcher::on_response_head(request_handle id, const response_metadata& head,
                                  time_point now) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.state != phase::sent) {
        return;
    }
    const auto backend = found->second.backend_id;
    found->second.has_invalid_head = !head.is_sealed || head.is_encoded;
    record_limit(id, found->second, head, now);
    if (head.is_shutting_down) {
        backends_.on_leaving(backend);
    }
    if (head.retry_after) {
        backends_.on_hold_off(backend, now + std::min(*head.retry_after, settings_.max_hold_off));
    }
    const auto* view = backends_.find(backend);
    if (view != nullptr && !backend_registry::accepts_requests(*view, now)) {
        reassign_waiting_requests(backend, now);
    }
}

void dispatcher::send(request_handle id, request& entry, const placement& target, time_point now) {
    if (!may_send(entry, now)) {
        record_retry_decision(id, entry, retry_decision::over_limit, now);
        end(id, entry, end_reason::refused, with_jitter(settings_.placement_retry_interval));
        return;
    }
    auto* view = backends_.find(target.backend_id);
    CAMPHOR_INVARIANT(view != nullptr);
    permits_.take(view->server.process(), now);
    entry.state = phase::sent;
    entry.has_first_byte = false;
    entry.has_invalid_head = false;
    entry.backend_id = target.backend_id;
    entry.sent_to = view->server.process();
    entry.weights = {entry.metadata.weights_name(), entry.version};
    entry.sent = now;
    entry.uncached = uncached_tokens(entry, *view);
    entry.expected_first_byte = estimate_first_byte(entry, *view, now);
    ++entry.attempts;
    ++view->in_flight;
    view->queued_prompt_tokens += entry.uncached;
    if (!entry.metadata.model.empty()) {
        ++view->demand[entry.weights].in_use;
        view->prompts.insert(entry.weights.name, entry.metadata.prompt_parts);
    }
    send_attempt effect;
    effect.request = id;
    effect.backend_id = target.backend_id;
    effect.started_at_ms = view->server.started_at_ms;
    effect.service = entry.service;
    effect.address = view->server.address;
    effect.expected_version = entry.metadata.adapter.empty() ? 0 : entry.version;
    effect.urgency = entry.urgency;
    effect.attempt_number = entry.attempts;
    effect.queue_time = now - entry.arrived;
    effect.prompt_tokens = entry.metadata.prompt_tokens;
    effect.limit = effective_limits_.find(view->server.process());
    effects_.emplace_back(std::move(effect));
}

void dispatcher::detach_from_backend(request& entry) {
    auto* view = backends_.find(entry.backend_id);
    if (view == nullptr || (entry.state != phase::waiting && entry.state != phase::sent)) {
        return;
    }
    auto found = view->demand.find(entry.weights);
    if (entry.state == phase::sent) {
        --view->in_flight;
        if (!entry.has_first_byte) {
            view->queued_prompt_tokens -= entry.uncached;
        }
        if (found != view->demand.end()) {
            --found->second.in_use;
        }
    } else if (found != view->demand.end()) {
        --found->second.waiting;
    }
    if (found != view->demand.end() && found->second == adapter_demand{}) {
        view->demand.erase(found);
    }
    entry.state = phase::placing;
}

void dispatcher::end(request_handle id, request& entry, end_reason reason, duration retry_after) {
    detach_from_backend(entry);
    release_retry(entry);
    entry.state = phase::ended;
    if (entry.may_have_run && has_not_run(reason)) {
        reason = end_reason::invalid_response; // an earlier attempt may have run
    }
    if (has_not_run(reason) && entry.cost > 0) {
        limiter_.credit(entry.account, entry.cost);
        entry.cost = 0;
    }
    effects_.emplace_back(end_request{
        id, reason, retry_after, entry.refused_cost,
        entry.is_part_trial ? std::nullopt : parts_.held_part(entry.metadata.prompt_parts),
        entry.is_return_reserved});
}

void dispatcher::on_first_byte(request_handle id, time_point now) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.state != phase::sent ||
        found->second.has_first_byte) {
        return;
    }
    auto& entry = found->second;
    entry.has_first_byte = true;
    parts_.on_start(entry.metadata.prompt_parts, entry.sent_to, now);
    record_origin(entry, now);
    if (auto* view = backends_.find(entry.backend_id)) {
        view->queued_prompt_tokens -= entry.uncached;
        record_latency(entry, *view, now);
    }
}

void dispatcher::forbid_retry(request_handle id) {
    const auto found = requests_.find(id);
    if (found != requests_.end()) {
        found->second.is_retry_forbidden = true;
    }
}

void dispatcher::on_attempt_ended(request_handle id, attempt_outcome outcome, time_point now) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.state != phase::sent) {
        return;
    }
    auto& entry = found->second;
    const auto backend = entry.backend_id;
    const auto* view = backends_.find(backend);
    if (outcome == attempt_outcome::invalid_response) {
        if (view != nullptr) {
            crashes_.add({entry.fingerprint, backend, view->server.started_at_ms}, now);
        }
        record_crash(entry, now);
    }
    const bool has_newly_held = parts_.update(now);
    detach_from_backend(entry);
    if (outcome == attempt_outcome::wrong_weights) {
        backends_.on_weights_missing(backend, entry.weights);
    }
    // A plain request needs no weights, so this refusal means that another process runs there.
    const bool is_other_process = outcome == attempt_outcome::wrong_weights &&
                                  (entry.metadata.model.empty() || (view && view->is_replaced));
    const bool is_unavailable = outcome == attempt_outcome::unreachable ||
                                outcome == attempt_outcome::invalid_response || is_other_process;
    if (is_unavailable) {
        backends_.on_failure(backend, now);
    } else {
        backends_.on_response(backend,
                              outcome == attempt_outcome::error_response ||
                                  outcome == attempt_outcome::unproven_response ||
                                  outcome == attempt_outcome::refused,
                              now);
    }
    if (outcome == attempt_outcome::completed) {
        entry.state = phase::ended;
    } else {
        retry_or_end(id, entry, outcome, now);
    }
    if (has_newly_held) {
        end_held_requests(now);
    }
}

void dispatcher::release(request_handle id, time_point now) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    record_timeout(found->second, now);
    detach_from_backend(found->second);
    release_retry(found->second);
    requests_.erase(found);
}

void dispatcher::on_engine_state(const std::string& backend_id, engine_state state,
                                 time_point now) {
    backends_.on_engine_state(backend_id, std::move(state), now);
    const auto* view = backends_.find(backend_id);
    if (view == nullptr) {
        return;
    }
    if (view->is_replaced || !backend_registry::accepts_requests(*view, now)) {
        reassign_waiting_requests(backend_id, now);
    } else {
        send_waiting_requests(backend_id, now);
    }
}

void dispatcher::record_timeout(const request& entry, time_point now) {
    const bool has_timed_out = entry.state == phase::sent && !entry.has_first_byte &&
                               now - entry.sent >= settings_.first_byte_timeout;
    if (has_timed_out) {
        backends_.on_failure(entry.backend_id, now);
    }
}

void dispatcher::tick(time_point now) {
    for (auto& [id, each] : requests_) {
        if (each.state == phase::resolving) {
            end_overdue_resumption(id, each, now);
        }
        if (each.state != phase::waiting && each.state != phase::sent) {
            continue;
        }
        if (now >= each.deadline && is_limited_by_shutdown(each)) {
            end_for_shutdown(id, each);
        } else if (now >= each.deadline) {
            const bool was_sent = each.state == phase::sent || each.may_have_run;
            record_timeout(each, now);
            end(id, each, was_sent ? end_reason::timed_out_sent : end_reason::timed_out,
                settings_.min_retry_after);
        } else if (each.state == phase::waiting &&
                   now - each.placed >= settings_.placement_retry_interval) {
            detach_from_backend(each);
            place(id, each, now);
        }
    }
    update_parts(now);
    update_cold_servers(now);
    backends_.erase_removed();
    erase_ended_limits(now);
    forget_ended_servers(now);
}

std::vector<dispatch_effect> dispatcher::take_effects() {
    return std::exchange(effects_, {});
}

std::map<std::string, std::vector<open_demand>>
dispatcher::open_demand_by_backend(time_point now) const {
    std::map<std::string, std::vector<open_demand>> out;
    for (const auto& item : requests_) {
        const auto& each = item.second;
        const bool is_open = each.state == phase::waiting || each.state == phase::sent;
        if (!is_open || each.metadata.model.empty()) {
            continue;
        }
        auto& demands = out[each.backend_id];
        auto found = std::find_if(demands.begin(), demands.end(), [&](const open_demand& demand) {
            return demand.weights == each.weights;
        });
        if (found == demands.end()) {
            found = demands.insert(demands.end(), {each.weights, 0, 0, {}, each.urgency, {}});
        }
        found->urgency = std::min(found->urgency, each.urgency);
        if (each.state == phase::waiting) {
            ++found->waiting;
            found->oldest_wait = std::max(found->oldest_wait, now - each.arrived);
            found->time_to_objective = std::max(
                found->time_to_objective, each.arrived + each.found_route->latency_objective - now);
        } else {
            ++found->in_use;
        }
    }
    return out;
}

std::string dispatcher::account_of(request_handle id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? std::string{} : found->second.account;
}

std::string dispatcher::backend_of(request_handle id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? std::string{} : found->second.backend_id;
}

const route* dispatcher::route_of(request_handle id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : found->second.found_route;
}

time_point dispatcher::deadline_of(request_handle id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? time_point{} : found->second.deadline;
}

std::size_t dispatcher::waiting_requests() const {
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(),
                      [](const auto& each) { return each.second.state == phase::waiting; }));
}

} // namespace camphorgrade::serving
