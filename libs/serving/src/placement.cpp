#include <serving/placement.h>

#include "hash_rank.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string_view>

namespace camphorgrade::serving {

namespace {

duration from_ms(double ms) {
    return duration{static_cast<duration::rep>(std::llround(ms))};
}

/** Rendezvous rank of a server for an adapter, about uniform in [0, server_count). */
double rendezvous_rank(std::string_view weights, std::string_view server,
                       std::size_t server_count) {
    const auto seed = XXH64(weights.data(), weights.size(), 0);
    return hash_unit(server, seed) * static_cast<double>(server_count);
}

/** Adapters that requests of this gateway wait for and that have no slot at the engine. */
std::uint32_t unmet_demand(const backend_view& view) {
    std::uint32_t unmet = 0;
    for (const auto& entry : view.demand) {
        const auto& weights = entry.first;
        const auto& adapters = view.engine->adapters;
        const bool has_slot =
            std::any_of(adapters.begin(), adapters.end(), [&](const adapter_status& each) {
                return each.weights.name == weights.name && each.weights.version >= weights.version;
            });
        unmet += entry.second.waiting > 0 && !has_slot ? 1 : 0;
    }
    return unmet;
}

} // namespace

placement_chooser::placement_chooser(placement_settings settings, std::string own_data_centre)
    : settings_(settings), own_data_centre_(std::move(own_data_centre)) {}

void placement_chooser::add_permit_wait(estimate& candidate, const permit_exchange& permits,
                                        const placement_request& request, time_point now) {
    const auto& server = candidate.view->server;
    const bool is_waiting = server.id == request.waiting_backend_id;
    const auto position = is_waiting ? std::optional(request.position) : std::nullopt;
    const auto wait = permits.wait_for(server.process(), position, now);
    if (!wait) {
        return;
    }
    // The weights are loaded meanwhile.
    candidate.permit_wait = std::max(*wait - candidate.weights_wait, duration::zero());
    candidate.is_ready = false;
    candidate.time_to_first_byte += candidate.permit_wait;
    candidate.cost += candidate.permit_wait;
}

placement_choice placement_chooser::choose(backend_registry& backends,
                                           const permit_exchange& permits,
                                           const placement_request& request, time_point now) {
    auto candidates = backends.servers_of_service(request.service);
    std::optional<time_point> available_at;
    std::erase_if(candidates, [&](const backend_view* each) {
        const bool is_other_version =
            request.software_version && each->server.software_version != *request.software_version;
        const bool may_be_cold = request.excludes_replaced && each->is_replaced;
        if (is_other_version || may_be_cold || request.excluded.count(each->server.id) != 0) {
            return true;
        }
        if (backend_registry::accepts_requests(*each, now)) {
            return false;
        }
        available_at = std::min(available_at.value_or(each->hold_off_until), each->hold_off_until);
        return true;
    });
    const auto server_count = candidates.size();
    const auto is_avoided = [&](const backend_view* each) {
        const bool is_unreachable =
            backends.has_recent_report(*each, now) && !each->engine->is_reachable;
        return backends.is_avoided(*each, now) || is_unreachable || each->is_replaced;
    };
    const bool any_reachable =
        std::any_of(candidates.begin(), candidates.end(),
                    [&](const backend_view* each) { return !is_avoided(each); });
    const auto cold_load_time = backends.load_times().estimate(backends.loads_under_way());
    estimate best;
    estimate best_with_permit; // if all permits were available
    for (auto* each : candidates) {
        if (any_reachable && is_avoided(each)) {
            continue;
        }
        auto candidate =
            request.base_model.empty()
                ? estimate_plain(*each, request)
                : estimate_engine(backends, *each, request, cold_load_time, server_count, now);
        if (candidate.view == nullptr) {
            continue;
        }
        if (best_with_permit.view == nullptr || candidate.cost < best_with_permit.cost) {
            best_with_permit = candidate;
        }
        add_permit_wait(candidate, permits, request, now);
        if (best.view == nullptr || candidate.cost < best.cost) {
            best = candidate;
        }
    }
    if (best.view == nullptr) {
        return {no_placement{available_at}, std::nullopt};
    }
    placement_choice out{
        placement{best.view->server.id, best.is_ready, best.time_to_first_byte, best.permit_wait},
        std::nullopt};
    if (best_with_permit.view != best.view) {
        out.interest = best_with_permit.view->server.process();
    }
    return out;
}

duration placement_chooser::common_penalty(const backend_view& view,
                                           const placement_request& request) const {
    auto penalty = from_ms(view.failure_rate * settings_.failure_penalty *
                           static_cast<double>(request.objective.count()));
    if (view.server.data_centre != own_data_centre_) {
        penalty += settings_.cross_data_centre_penalty;
    }
    return penalty;
}

placement_chooser::estimate
placement_chooser::estimate_plain(backend_view& view, const placement_request& request) const {
    const double rounds = static_cast<double>(view.in_flight + 1) /
                          static_cast<double>(std::max<std::uint32_t>(view.server.slots, 1));
    const auto service_time = from_ms(static_cast<double>(settings_.plain_request_time.count()) *
                                      view.latency_ratio * std::max(1.0, rounds));
    // While slots are free, the less loaded of two equal servers is still preferred.
    const auto load_penalty =
        from_ms(rounds * static_cast<double>(settings_.plain_request_time.count()));
    return {&view, true, service_time, service_time + load_penalty + common_penalty(view, request),
            {},    {}};
}

std::uint32_t placement_chooser::others_unplaced(const backend_view& view,
                                                 const placement_request& request) {
    const std::uint32_t own = view.server.id == request.waiting_backend_id ? 1 : 0;
    return view.engine->unplaced > own ? view.engine->unplaced - own : 0;
}

duration placement_chooser::load_wait(const backend_view& view, const placement_request& request,
                                      duration cold_load_time) const {
    if (request.weights == request.base_model) {
        return duration::zero();
    }
    const auto& adapters = view.engine->adapters;
    const bool is_loading =
        std::any_of(adapters.begin(), adapters.end(), [&](const adapter_status& each) {
            return each.weights.name == request.weights &&
                   each.weights.version >= request.min_version;
        });
    if (is_loading) {
        return cold_load_time / 2;
    }
    const bool is_older_in_use =
        std::any_of(adapters.begin(), adapters.end(), [&](const adapter_status& each) {
            return each.weights.name == request.weights && each.in_use > 0;
        });
    if (is_older_in_use) {
        return cold_load_time + settings_.replacement_wait;
    }
    const auto load_time =
        was_held_before(view, request) ? settings_.warm_load_time : cold_load_time;
    // The agent reports the demand of all gateways; this gateway also knows its own
    // demand since that report.
    const auto unmet = std::max(unmet_demand(view), others_unplaced(view, request));
    if (unmet < view.engine->available_adapter_slots) {
        return load_time + load_time * unmet / 2;
    }
    const auto queue_position = unmet - view.engine->available_adapter_slots + 1;
    return load_time + settings_.adapter_slot_wait * queue_position;
}

std::optional<duration> placement_chooser::model_wait(const backend_registry& backends,
                                                      const backend_view& view,
                                                      const placement_request& request,
                                                      time_point now) const {
    if (!backends.has_recent_report(view, now)) {
        return std::nullopt;
    }
    if (backends.holds(view, request.base_model, 0, now)) {
        return duration::zero();
    }
    const auto& pending = view.engine->pending_model;
    if (!pending || pending->name != request.base_model) {
        return std::nullopt;
    }
    return std::max(pending->time_left - (now - view.engine_reported_at), duration::zero());
}

bool placement_chooser::was_held_before(const backend_view& view,
                                        const placement_request& request) const {
    return view.previously_held_adapters.count(request.weights) != 0;
}

placement_chooser::estimate
placement_chooser::estimate_engine(backend_registry& backends, backend_view& view,
                                   const placement_request& request, duration cold_load_time,
                                   std::size_t server_count, time_point now) const {
    const bool is_ready = backends.holds(view, request.weights, request.min_version, now);
    const bool is_fresh = backends.has_recent_report(view, now);
    const auto model_wait_time =
        is_ready ? std::optional(duration::zero()) : model_wait(backends, view, request, now);
    if (!model_wait_time) {
        return {};
    }
    const auto cached = view.prompts.cached_tokens(request.weights, request.prompt_parts);
    const auto uncached = request.prompt_tokens > cached ? request.prompt_tokens - cached : 0;
    const auto queued = backends.queued_prompt_tokens(view, now);
    auto first_byte_time = from_ms(static_cast<double>(queued + uncached) * view.latency_ratio /
                                   settings_.prefill_tokens_per_ms);
    auto cost = common_penalty(view, request);
    duration weights_wait{};
    if (!is_ready) {
        weights_wait = *model_wait_time + load_wait(view, request, cold_load_time);
        first_byte_time += weights_wait;
        const auto rank = rendezvous_rank(request.weights, view.server.id, server_count);
        cost += from_ms(rank * static_cast<double>(settings_.rank_penalty.count()));
        cost += was_held_before(view, request) ? duration::zero() : settings_.store_fetch_penalty;
    }
    if (is_fresh) {
        const auto& engine = *view.engine;
        const auto usable_kv = settings_.usable_kv_share * static_cast<double>(engine.kv_total);
        const auto needed_kv = engine.kv_used + uncached + request.output_tokens;
        const bool is_full = engine.waiting > 0 && engine.running >= view.server.slots;
        if (is_full || (engine.kv_total > 0 && static_cast<double>(needed_kv) > usable_kv)) {
            first_byte_time += settings_.full_batch_wait;
        }
    }
    return {&view, is_ready, first_byte_time, first_byte_time + cost, weights_wait, {}};
}

} // namespace camphorgrade::serving
