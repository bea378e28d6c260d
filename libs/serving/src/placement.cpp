#include <serving/placement.h>

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <string_view>

namespace camphorgrade::serving {

namespace {

constexpr double hash_range = 18'446'744'073'709'551'616.0; // 2^64

duration from_ms(double ms) {
    return duration{static_cast<duration::rep>(std::llround(ms))};
}

/** Rank of a server for an adapter, about uniform in [0, servers). */
double rendezvous_rank(std::string_view weights, std::string_view server, std::size_t servers) {
    const auto seed = XXH64(weights.data(), weights.size(), 0);
    const auto hash = XXH64(server.data(), server.size(), seed);
    return static_cast<double>(hash) / hash_range * static_cast<double>(servers);
}

std::uint32_t unmet_demand(const backend_view& view) {
    std::uint32_t unmet = 0;
    for (const auto& entry : view.demand) {
        const auto& weights = entry.first;
        const auto& places = view.engine->adapters;
        const bool is_placed =
            std::any_of(places.begin(), places.end(), [&](const adapter_status& each) {
                return each.weights.name == weights.name && each.weights.version >= weights.version;
            });
        unmet += entry.second.waiting > 0 && !is_placed ? 1 : 0;
    }
    return unmet;
}

} // namespace

placement_chooser::placement_chooser(placement_settings settings, std::string own_data_centre)
    : settings_(settings), own_data_centre_(std::move(own_data_centre)) {}

std::variant<placement, no_placement> placement_chooser::choose(backend_registry& board,
                                                                const placement_request& request,
                                                                time_point now) {
    auto candidates = board.servers_of_service(request.service);
    std::optional<time_point> open_at;
    std::erase_if(candidates, [&](const backend_view* each) {
        if (request.excluded.count(each->server.id) != 0) {
            return true;
        }
        if (backend_registry::accepts_requests(*each, now)) {
            return false;
        }
        open_at = std::min(open_at.value_or(each->hold_off_until), each->hold_off_until);
        return true;
    });
    const auto servers = candidates.size();
    const auto is_avoided = [&](const backend_view* each) {
        const bool is_dead = board.has_recent_report(*each, now) && !each->engine->is_reachable;
        return board.is_avoided(*each, now) || is_dead || each->is_replaced;
    };
    const bool any_reachable =
        std::any_of(candidates.begin(), candidates.end(),
                    [&](const backend_view* each) { return !is_avoided(each); });
    const auto load_cold = board.load_times().estimate(board.loads_under_way());
    estimate best;
    for (auto* each : candidates) {
        if (any_reachable && is_avoided(each)) {
            continue;
        }
        const auto judged = request.base_model.empty()
                                ? judge_plain(*each, request)
                                : judge_engine(board, *each, request, load_cold, servers, now);
        if (judged.view != nullptr && (best.view == nullptr || judged.cost < best.cost)) {
            best = judged;
        }
    }
    if (best.view == nullptr) {
        return no_placement{open_at};
    }
    return placement{best.view->server.id, best.is_ready, best.first_answer};
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

placement_chooser::estimate placement_chooser::judge_plain(backend_view& view,
                                                           const placement_request& request) const {
    const double rounds = static_cast<double>(view.in_flight + 1) /
                          static_cast<double>(std::max<std::uint32_t>(view.server.slots, 1));
    const auto work = from_ms(static_cast<double>(settings_.plain_request_time.count()) *
                              view.latency_ratio * std::max(1.0, rounds));
    // Below a full house, the less loaded of two alike servers is still the better one.
    const auto load = from_ms(rounds * static_cast<double>(settings_.plain_request_time.count()));
    return {&view, true, work, work + load + common_penalty(view, request)};
}

std::uint32_t placement_chooser::others_unplaced(const backend_view& view,
                                                 const placement_request& request) {
    const std::uint32_t own = view.server.id == request.waiting_backend_id ? 1 : 0;
    return view.engine->unplaced > own ? view.engine->unplaced - own : 0;
}

duration placement_chooser::load_wait(const backend_view& view, const placement_request& request,
                                      duration load_cold) const {
    if (request.weights == request.base_model) {
        return duration::zero();
    }
    const auto& places = view.engine->adapters;
    const bool is_coming =
        std::any_of(places.begin(), places.end(), [&](const adapter_status& each) {
            return each.weights.name == request.weights &&
                   each.weights.version >= request.min_version;
        });
    if (is_coming) {
        return load_cold / 2;
    }
    const bool is_older_in_use =
        std::any_of(places.begin(), places.end(), [&](const adapter_status& each) {
            return each.weights.name == request.weights && each.in_use > 0;
        });
    if (is_older_in_use) {
        return load_cold + settings_.replacement_wait;
    }
    const auto load = is_fetched(view, request) ? settings_.warm_load_time : load_cold;
    // The agent knows what all gateways wait for, this gateway what it has asked for since.
    const auto unmet = std::max(unmet_demand(view), others_unplaced(view, request));
    if (unmet < view.engine->available_adapter_slots) {
        return load + load * unmet / 2;
    }
    const auto ahead = unmet - view.engine->available_adapter_slots + 1;
    return load + settings_.adapter_slot_wait * ahead;
}

std::optional<duration> placement_chooser::model_wait(const backend_registry& board,
                                                      const backend_view& view,
                                                      const placement_request& request,
                                                      time_point now) const {
    if (!board.has_recent_report(view, now)) {
        return std::nullopt;
    }
    if (board.holds(view, request.base_model, 0, now)) {
        return duration::zero();
    }
    const auto& coming = view.engine->pending_model;
    if (!coming || coming->name != request.base_model) {
        return std::nullopt;
    }
    return std::max(coming->time_left - (now - view.engine_reported_at), duration::zero());
}

bool placement_chooser::is_fetched(const backend_view& view,
                                   const placement_request& request) const {
    return view.seen_adapters.count(request.weights) != 0;
}

placement_chooser::estimate placement_chooser::judge_engine(backend_registry& board,
                                                            backend_view& view,
                                                            const placement_request& request,
                                                            duration load_cold, std::size_t servers,
                                                            time_point now) const {
    const bool is_ready = board.holds(view, request.weights, request.min_version, now);
    const bool is_fresh = board.has_recent_report(view, now);
    const auto model_due =
        is_ready ? std::optional(duration::zero()) : model_wait(board, view, request, now);
    if (!model_due) {
        return {};
    }
    const auto cached = view.prompts.cached_tokens(request.weights, request.prompt_parts);
    const auto unread = request.prompt_tokens > cached ? request.prompt_tokens - cached : 0;
    const auto queued = board.queued_prompt_tokens(view, now);
    auto first = from_ms(static_cast<double>(queued + unread) * view.latency_ratio /
                         settings_.prefill_tokens_per_ms);
    auto cost = common_penalty(view, request);
    if (!is_ready) {
        first += *model_due + load_wait(view, request, load_cold);
        const auto rank = rendezvous_rank(request.weights, view.server.id, servers);
        cost += from_ms(rank * static_cast<double>(settings_.rank_penalty.count()));
        cost += is_fetched(view, request) ? duration::zero() : settings_.store_fetch_penalty;
    }
    if (is_fresh) {
        const auto& engine = *view.engine;
        const auto room = settings_.usable_kv_share * static_cast<double>(engine.kv_total);
        const auto needed = engine.kv_used + unread + request.output_tokens;
        const bool is_full = engine.waiting > 0 && engine.running >= view.server.slots;
        if (is_full || (engine.kv_total > 0 && static_cast<double>(needed) > room)) {
            first += settings_.full_batch_wait;
        }
    }
    return {&view, is_ready, first, first + cost};
}

} // namespace camphorgrade::serving
