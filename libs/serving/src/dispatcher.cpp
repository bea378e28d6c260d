#include <serving/dispatcher.h>

#include <kernel/check.h>
#include <kernel/scaled.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::serving {

dispatcher::dispatcher(dispatcher_settings settings, std::string own_data_centre,
                       std::uint64_t seed)
    : settings_(settings), random_(seed), board_({}), limiter_(settings.limits),
      retries_(settings.retries), crashes_({}), outlook_(settings.outlook),
      chooser_(settings.placing, std::move(own_data_centre)) {}

void dispatcher::set_catalogue(service_catalogue catalogue, time_point now) {
    if (catalogue_ && catalogue.version <= catalogue_->catalogue().version) {
        return;
    }
    limiter_.set_catalogue(catalogue, now);
    catalogue_ = std::make_shared<const catalogue_index>(std::move(catalogue));
}

void dispatcher::set_adapter_version(const std::string& weights, std::uint64_t version) {
    auto& known = versions_[weights];
    known = std::max(known, version);
}

request_handle dispatcher::on_request(request_metadata profile, std::uint64_t content,
                                      time_point now) {
    const auto id = next_++;
    auto& added = requests_[id];
    added.profile = std::move(profile);
    added.content = content;
    added.catalogue = catalogue_;
    added.arrived = now;
    duration wait{};
    if (const auto reason = check(added, wait, now)) {
        end(id, added, *reason, wait);
        return id;
    }
    retries_.on_request(added.service, now);
    place(id, added, now);
    return id;
}

duration dispatcher::patience(const request& of) const {
    const auto& on = *of.on_route;
    return std::max({settings_.min_caller_timeout,
                     on.latency_objective * settings_.caller_timeout_objectives,
                     on.longest_pause * settings_.caller_timeout_pauses});
}

duration dispatcher::retry_after(duration estimate) {
    // Spread, so that callers that were refused together don't come back together.
    const double spread = 0.75 + 0.5 * random_.unit();
    return std::clamp(scaled(estimate, spread), settings_.min_retry_after,
                      settings_.max_retry_after);
}

duration dispatcher::retry_when_complete(time_point now) {
    // Later than expected rather than sooner: a caller has few tries.
    const double spread = 1.0 + 0.5 * random_.unit();
    const auto wait = scaled(outlook_.complete_by(now) - now, spread);
    return std::clamp(std::max(wait, retry_after(settings_.placement_retry_interval)),
                      settings_.min_retry_after, settings_.max_retry_after);
}

void dispatcher::place(request_handle id, request& of, time_point now) {
    placement_request wanted;
    wanted.service = of.service;
    wanted.base_model = of.profile.model;
    wanted.weights = of.profile.weights_name();
    const auto version = versions_.find(wanted.weights);
    of.version = version == versions_.end() ? 0 : version->second;
    wanted.min_version = of.version;
    wanted.prompt_tokens = of.profile.prompt_tokens;
    wanted.output_tokens = of.profile.max_output_tokens;
    wanted.prompt_parts = of.profile.prompt_parts;
    wanted.objective = of.on_route->latency_objective;
    wanted.excluded = of.excluded;
    wanted.waiting_backend_id = of.backend_id;
    const auto chosen = chooser_.choose(board_, wanted, now);
    if (const auto* none = std::get_if<no_placement>(&chosen)) {
        end_unplaced(id, of, *none, now);
        return;
    }
    const auto* to = std::get_if<placement>(&chosen);
    const auto usable = std::min(scaled(of.deadline - now, settings_.usable_time_share),
                                 patience(of) - (now - of.arrived));
    if (to->time_to_first_byte > usable) {
        end(id, of, end_reason::no_capacity, retry_after(to->time_to_first_byte - usable));
        return;
    }
    if (to->is_ready) {
        send(id, of, *to, now);
    } else {
        wait(id, of, *to, now);
    }
}

void dispatcher::end_unplaced(request_handle id, request& of, const no_placement& why,
                              time_point now) {
    const auto reason = of.refusals > 0    ? end_reason::refused
                        : why.available_at ? end_reason::no_capacity
                                           : end_reason::no_backend;
    if (!why.available_at) {
        end(id, of, reason, retry_when_complete(now));
        return;
    }
    // Never sooner than the servers said.
    const double spread = 1.0 + 0.25 * random_.unit();
    end(id, of, reason,
        std::max(scaled(*why.available_at - now, spread), settings_.min_retry_after));
}

void dispatcher::place_elsewhere(const std::string& backend_id, time_point now) {
    for (auto& [id, each] : requests_) {
        if (each.at == phase::waiting && each.backend_id == backend_id) {
            leave_backend(each);
            place(id, each, now);
        }
    }
}

void dispatcher::on_response_head(request_handle id, const response_metadata& answer,
                                  time_point now) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.at != phase::sent) {
        return;
    }
    const auto backend = found->second.backend_id;
    if (answer.is_shutting_down) {
        board_.on_leaving(backend);
    }
    if (answer.retry_after) {
        board_.on_hold_off(backend, now + std::min(*answer.retry_after, settings_.max_hold_off));
    }
    const auto* view = board_.find(backend);
    if (view != nullptr && !backend_registry::accepts_requests(*view, now)) {
        place_elsewhere(backend, now);
    }
}

void dispatcher::send(request_handle id, request& of, const placement& to, time_point now) {
    auto* view = board_.find(to.backend_id);
    CAMPHOR_INVARIANT(view != nullptr);
    of.at = phase::sent;
    of.has_first_answer = false;
    of.backend_id = to.backend_id;
    of.waits_for = {of.profile.weights_name(), of.version};
    of.sent = now;
    of.unread_tokens =
        of.profile.prompt_tokens -
        std::min(of.profile.prompt_tokens,
                 view->prompts.cached_tokens(of.waits_for.name, of.profile.prompt_parts));
    of.expected = expected_answer(of, *view, now);
    ++of.attempts;
    ++view->in_flight;
    view->queued_prompt_tokens += of.unread_tokens;
    if (!of.profile.model.empty()) {
        ++view->demand[of.waits_for].in_use;
        view->prompts.insert(of.waits_for.name, of.profile.prompt_parts);
    }
    send_attempt effect;
    effect.request = id;
    effect.backend_id = to.backend_id;
    effect.address = view->server.address;
    effect.expected_version = of.profile.adapter.empty() ? 0 : of.version;
    effect.urgency = of.urgency;
    effect.attempt_number = of.attempts;
    effect.queue_time = now - of.arrived;
    effect.prompt_tokens = of.profile.prompt_tokens;
    effects_.emplace_back(std::move(effect));
}

duration dispatcher::expected_answer(const request& of, const backend_view& view,
                                     time_point now) const {
    if (of.profile.model.empty()) {
        return settings_.placing.plain_request_time;
    }
    const auto tokens = board_.queued_prompt_tokens(view, now) + of.unread_tokens;
    return duration{static_cast<duration::rep>(static_cast<double>(tokens) /
                                               settings_.placing.prefill_tokens_per_ms)};
}

void dispatcher::wait(request_handle id, request& of, const placement& to, time_point now) {
    auto* view = board_.find(to.backend_id);
    CAMPHOR_INVARIANT(view != nullptr);
    of.at = phase::waiting;
    of.placed = now;
    of.backend_id = to.backend_id;
    of.waits_for = {of.profile.weights_name(), of.version};
    ++view->demand[of.waits_for].waiting;
    effects_.emplace_back(wait_for_weights{id, to.backend_id, to.time_to_first_byte});
}

void dispatcher::leave_backend(request& of) {
    auto* view = board_.find(of.backend_id);
    if (view == nullptr || (of.at != phase::waiting && of.at != phase::sent)) {
        return;
    }
    auto found = view->demand.find(of.waits_for);
    if (of.at == phase::sent) {
        --view->in_flight;
        if (!of.has_first_answer) {
            view->queued_prompt_tokens -= of.unread_tokens;
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
    of.at = phase::placing;
}

void dispatcher::end(request_handle id, request& of, end_reason reason, duration retry_after) {
    leave_backend(of);
    of.at = phase::ended;
    if (of.may_have_run && has_not_run(reason)) {
        reason = end_reason::invalid_response; // an earlier attempt may have run
    }
    if (has_not_run(reason) && of.cost > 0) {
        limiter_.credit(of.account, of.cost);
        of.cost = 0;
    }
    effects_.emplace_back(end_request{id, reason, retry_after, of.refused_cost});
}

void dispatcher::on_first_byte(request_handle id, time_point now) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.at != phase::sent ||
        found->second.has_first_answer) {
        return;
    }
    auto& of = found->second;
    of.has_first_answer = true;
    if (auto* view = board_.find(of.backend_id)) {
        view->queued_prompt_tokens -= of.unread_tokens;
        board_.on_latency(of.backend_id, now - of.sent, of.expected);
    }
}

void dispatcher::on_attempt_ended(request_handle id, attempt_outcome outcome, time_point now) {
    const auto found = requests_.find(id);
    if (found == requests_.end() || found->second.at != phase::sent) {
        return;
    }
    auto& of = found->second;
    const auto backend = of.backend_id;
    const auto* view = board_.find(backend);
    if (outcome == attempt_outcome::invalid_response && view != nullptr) {
        crashes_.add({of.content, backend, view->server.started_at_ms}, now);
    }
    leave_backend(of);
    if (outcome == attempt_outcome::wrong_weights) {
        board_.on_weights_missing(backend, of.waits_for);
    }
    // Plain work needs no weights, so it was refused because another process is there.
    const bool is_other_process = outcome == attempt_outcome::wrong_weights &&
                                  (of.profile.model.empty() || (view && view->is_replaced));
    const bool could_not_use = outcome == attempt_outcome::unreachable ||
                               outcome == attempt_outcome::invalid_response || is_other_process;
    if (could_not_use) {
        board_.on_failure(backend, now);
    } else {
        board_.on_response(
            backend,
            outcome == attempt_outcome::error_response || outcome == attempt_outcome::refused, now);
    }
    if (outcome == attempt_outcome::completed) {
        of.at = phase::ended;
        return;
    }
    try_again(id, of, outcome, now);
}

void dispatcher::try_again(request_handle id, request& of, attempt_outcome outcome,
                           time_point now) {
    const bool has_run =
        outcome == attempt_outcome::invalid_response || outcome == attempt_outcome::error_response;
    of.may_have_run = of.may_have_run || has_run;
    of.refusals += has_run ? 0 : 1;
    of.attempts -= has_run || of.attempts == 0 ? 0 : 1;
    const auto reason = has_run ? end_reason::invalid_response : end_reason::refused;
    of.excluded.insert(of.backend_id);
    const bool may_run_again = !of.may_have_run || of.on_route->is_retryable();
    const bool has_tries = of.attempts < std::max<std::uint32_t>(of.on_route->max_attempts, 1) &&
                           of.refusals <= settings_.max_refusals;
    if (!may_run_again || !has_tries || now >= of.deadline ||
        crashes_.is_quarantined(of.content, now) ||
        !retries_.try_retry(of.service, limiter_.gateway_count(), now)) {
        end(id, of, reason, retry_after(settings_.placement_retry_interval));
        return;
    }
    place(id, of, now);
}

void dispatcher::release(request_handle id, time_point now) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return;
    }
    note_silence(found->second, now);
    leave_backend(found->second);
    requests_.erase(found);
}

void dispatcher::on_engine_state(const std::string& backend_id, engine_state state,
                                 time_point now) {
    board_.on_engine_state(backend_id, std::move(state), now);
    const auto* view = board_.find(backend_id);
    if (view == nullptr) {
        return;
    }
    for (auto& [id, each] : requests_) {
        if (each.at != phase::waiting || each.backend_id != backend_id) {
            continue;
        }
        if (view->is_replaced || !backend_registry::accepts_requests(*view, now)) {
            leave_backend(each);
            place(id, each, now);
        } else if (board_.holds(*view, each.waits_for.name, each.waits_for.version, now)) {
            leave_backend(each);
            send(id, each, {backend_id, true, {}}, now);
        }
    }
}

void dispatcher::note_silence(const request& of, time_point now) {
    const bool is_silent = of.at == phase::sent && !of.has_first_answer &&
                           now - of.sent >= settings_.first_byte_timeout;
    if (is_silent) {
        board_.on_failure(of.backend_id, now);
    }
}

void dispatcher::tick(time_point now) {
    for (auto& [id, each] : requests_) {
        if (each.at != phase::waiting && each.at != phase::sent) {
            continue;
        }
        if (now >= each.deadline) {
            const bool was_sent = each.at == phase::sent || each.may_have_run;
            note_silence(each, now);
            end(id, each, was_sent ? end_reason::timed_out_sent : end_reason::timed_out,
                settings_.min_retry_after);
        } else if (each.at == phase::waiting &&
                   now - each.placed >= settings_.placement_retry_interval) {
            leave_backend(each);
            place(id, each, now);
        }
    }
    board_.erase_removed();
}

std::vector<dispatch_effect> dispatcher::take_effects() {
    return std::exchange(effects_, {});
}

std::map<std::string, std::vector<open_demand>>
dispatcher::open_demand_by_backend(time_point now) const {
    std::map<std::string, std::vector<open_demand>> out;
    for (const auto& entry : requests_) {
        const auto& each = entry.second;
        const bool is_open = each.at == phase::waiting || each.at == phase::sent;
        if (!is_open || each.profile.model.empty()) {
            continue;
        }
        auto& works = out[each.backend_id];
        auto found = std::find_if(works.begin(), works.end(), [&](const open_demand& work) {
            return work.weights == each.waits_for;
        });
        if (found == works.end()) {
            found = works.insert(works.end(), {each.waits_for, 0, 0, {}, each.urgency, {}});
        }
        found->urgency = std::min(found->urgency, each.urgency);
        if (each.at == phase::waiting) {
            ++found->waiting;
            found->oldest_wait = std::max(found->oldest_wait, now - each.arrived);
            found->time_to_objective = std::max(
                found->time_to_objective, each.arrived + each.on_route->latency_objective - now);
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
    return found == requests_.end() ? nullptr : found->second.on_route;
}

time_point dispatcher::deadline_of(request_handle id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() ? time_point{} : found->second.deadline;
}

std::size_t dispatcher::waiting_requests() const {
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(),
                      [](const auto& each) { return each.second.at == phase::waiting; }));
}

} // namespace camphorgrade::serving
