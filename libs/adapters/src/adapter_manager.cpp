#include <adapters/adapter_manager.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace camphorgrade::adapters {

using serving::versioned_weights;

namespace {

bool names(const std::vector<versioned_weights>& held, const std::string& name) {
    return std::any_of(held.begin(), held.end(),
                       [&](const versioned_weights& each) { return each.name == name; });
}

std::string model_of(const std::string& weights) {
    return weights.substr(0, weights.find('/'));
}

bool is_adapter(const std::string& weights) {
    return weights.find('/') != std::string::npos;
}

} // namespace

adapter_manager::adapter_manager(adapter_manager_settings settings)
    : settings_(settings), usual_load_ms_(static_cast<double>(settings.initial_load_time.count())) {
}

demand_result adapter_manager::on_demand(const std::string& gateway, engine_demand demand,
                                         time_point now) {
    if (snapshot_ && demand.backend_started_at_ms != 0 &&
        demand.backend_started_at_ms != snapshot_->started_at_ms) {
        return demand.backend_started_at_ms < snapshot_->started_at_ms
                   ? demand_result::for_earlier_process
                   : demand_result::for_later_process;
    }
    backend_id_ = demand.backend_id;
    if (demand.shape.adapter_slots > 0 || !demand.shape.models.empty()) {
        shape_ = demand.shape;
    }
    gateways_[gateway] = {std::move(demand), now};
    recount(now);
    return demand_result::accepted;
}

void adapter_manager::recount(time_point now) {
    std::erase_if(gateways_, [&](const auto& each) {
        return now - each.second.heard >= settings_.demand_expiry;
    });
    const auto before = std::exchange(wanted_, {});
    queued_prompt_tokens_ = 0;
    for (const auto& [name, view] : gateways_) {
        queued_prompt_tokens_ += view.demand.queued_prompt_tokens;
        for (const auto& each : view.demand.adapters) {
            const auto since = view.heard - each.oldest_wait;
            auto [at, is_new] =
                wanted_.try_emplace(each.weights, total{0, 0, each.urgency, since, {}});
            at->second.waiting += each.waiting;
            at->second.in_use += each.in_use;
            at->second.urgency = std::min(at->second.urgency, each.urgency);
            at->second.since = std::min(at->second.since, since);
            at->second.in_time_until =
                std::max(at->second.in_time_until, view.heard + each.time_to_objective);
        }
    }
    note_uses(before, now);
}

void adapter_manager::note_uses(const std::map<versioned_weights, total>& before, time_point now) {
    for (const auto& [weights, demand] : wanted_) {
        const auto found = before.find(weights);
        const auto known = found == before.end() ? 0U : found->second.requests();
        auto& record = used_[weights.name];
        record.last = now;
        record.uses += demand.requests() > known ? demand.requests() - known : 0;
    }
    std::erase_if(used_,
                  [&](const auto& each) { return now - each.second.last > settings_.use_history; });
}

time_point adapter_manager::eviction_rank(const std::string& name) const {
    const auto found = used_.find(name);
    if (found == used_.end()) {
        return {};
    }
    const auto& record = found->second;
    const auto reuses = std::min(record.uses > 0 ? record.uses - 1 : 0, settings_.max_reuses);
    return record.last + settings_.retention_per_reuse * static_cast<int>(reuses);
}

void adapter_manager::on_snapshot(engine_snapshot snapshot, std::uint64_t results_seen,
                                  time_point now) {
    if (results_seen != results_seen_ || is_order_open_) {
        return;
    }
    if (snapshot_ && snapshot_->started_at_ms != snapshot.started_at_ms) {
        paused_until_ = now;
        model_paused_until_ = now;
        model_ordered_.reset();
        replacing_.clear();
        used_.clear();
        ordered_.clear();
        held_before_.clear();
        gateways_.clear();
        backend_id_.clear();
    }
    needs_snapshot_ = false;
    snapshot_ = std::move(snapshot);
    note_loads(now);
    recount(now);
}

void adapter_manager::note_loads(time_point now) {
    for (const auto& each : snapshot_->adapters) {
        const auto found = ordered_.find(each.name);
        if (found != ordered_.end()) {
            note_load(now - found->second);
            ordered_.erase(found);
        }
        held_before_.insert(each.name);
    }
    // What is neither held nor loading has failed.
    std::erase_if(ordered_, [&](const auto& each) { return !is_loading(each.first); });
}

void adapter_manager::on_order_result(const engine_order& order, order_result result,
                                      time_point now) {
    is_order_open_ = false;
    needs_snapshot_ = true;
    ++results_seen_;
    if (result == order_result::refused) {
        paused_until_ = now + settings_.refusal_backoff;
        return;
    }
    if (order.kind == order_kind::load && !is_adapter(order.weights.name)) {
        // Counted without an answer, too: the engine may be carrying it out.
        model_ordered_ = model_ordered_.value_or(now);
    }
    if (result == order_result::accepted && order.kind == order_kind::load) {
        used_[order.weights.name].last = now;
        if (is_adapter(order.weights.name) && !is_warm(order.weights.name)) {
            ordered_[order.weights.name] = now;
        }
    }
}

void adapter_manager::note_load(duration took) {
    ++cold_loads_;
    last_cold_load_ = took;
    const auto ms = static_cast<double>(took.count());
    usual_load_ms_ = ms < usual_load_ms_
                         ? ms
                         : usual_load_ms_ + settings_.slow_load_weight * (ms - usual_load_ms_);
}

std::uint32_t adapter_manager::cold_limit() const {
    const bool is_busy = cold_loads_ == 0 || static_cast<double>(last_cold_load_.count()) >
                                                 usual_load_ms_ * settings_.busy_load_ratio;
    return is_busy ? settings_.max_cold_loads_when_busy : settings_.max_cold_loads;
}

std::size_t adapter_manager::cold_loading() const {
    const auto count =
        std::count_if(snapshot_->loading.begin(), snapshot_->loading.end(),
                      [&](const versioned_weights& each) { return !is_warm(each.name); });
    return static_cast<std::size_t>(count);
}

std::uint64_t adapter_manager::newest_wanted(const std::string& weights) const {
    std::uint64_t newest = 0;
    for (const auto& [each, demand] : wanted_) {
        if (each.name == weights) {
            newest = std::max(newest, each.version);
        }
    }
    return newest;
}

bool adapter_manager::is_held(const versioned_weights& weights) const {
    return std::any_of(snapshot_->adapters.begin(), snapshot_->adapters.end(),
                       [&](const versioned_weights& each) {
                           return each.name == weights.name && each.version >= weights.version;
                       });
}

bool adapter_manager::is_loading(const std::string& name) const {
    return names(snapshot_->loading, name);
}

std::size_t adapter_manager::places_taken() const {
    const auto only_loading = std::count_if(
        snapshot_->loading.begin(), snapshot_->loading.end(),
        [&](const versioned_weights& each) { return !names(snapshot_->adapters, each.name); });
    return snapshot_->adapters.size() + static_cast<std::size_t>(only_loading);
}

std::size_t adapter_manager::evictable() const {
    const std::size_t taken = places_taken();
    const std::size_t free = shape_.adapter_slots > taken ? shape_.adapter_slots - taken : 0;
    const auto idle = std::count_if(
        snapshot_->adapters.begin(), snapshot_->adapters.end(), [&](const versioned_weights& each) {
            const bool is_wanted =
                std::any_of(wanted_.begin(), wanted_.end(),
                            [&](const auto& wanted) { return wanted.first.name == each.name; });
            return !is_wanted && !is_loading(each.name);
        });
    return free + static_cast<std::size_t>(idle);
}

bool adapter_manager::needs_place(const versioned_weights& weights, const total& demand) const {
    return demand.waiting > 0 && is_adapter(weights.name) && !is_held(weights) &&
           !is_loading(weights.name);
}

std::size_t adapter_manager::unplaced() const {
    const auto count = std::count_if(wanted_.begin(), wanted_.end(), [&](const auto& each) {
        return needs_place(each.first, each.second);
    });
    return static_cast<std::size_t>(count);
}

std::optional<engine_order> adapter_manager::next_order(time_point now) {
    const bool is_known = snapshot_ && !needs_snapshot_ && !backend_id_.empty();
    if (!is_known || is_order_open_ || now < paused_until_) {
        return std::nullopt;
    }
    recount(now);
    auto order = model_order(now);
    if (!order) {
        order = adapter_order(now);
    }
    is_order_open_ = order.has_value();
    return order;
}

std::optional<engine_order> adapter_manager::model_order(time_point now) {
    if (!snapshot_->models.empty() || snapshot_->is_busy || now < model_paused_until_) {
        return std::nullopt;
    }
    const auto* model = wanted_model();
    if (model == nullptr) {
        return std::nullopt;
    }
    model_paused_until_ = now + settings_.model_order_interval;
    return make(order_kind::load, {model->name, 0});
}

const serving::base_model* adapter_manager::wanted_model() const {
    const auto fits =
        std::find_if(shape_.models.begin(), shape_.models.end(), [&](const auto& each) {
            return each.weights_mb <= shape_.weights_capacity_mb;
        });
    return fits == shape_.models.end() ? nullptr : &*fits;
}

std::optional<engine_order> adapter_manager::adapter_order(time_point now) {
    if (snapshot_->loading.size() >= settings_.max_loads) {
        return std::nullopt;
    }
    const bool may_load_cold = cold_loading() < cold_limit();
    const versioned_weights* chosen = nullptr;
    const total* best = nullptr;
    for (const auto& [weights, demand] : wanted_) {
        const bool needs_load =
            (may_load_cold || is_warm(weights.name)) && needs_place(weights, demand) &&
            weights.version >= newest_wanted(weights.name) &&
            names(snapshot_->models, model_of(weights.name)) && !is_replacing(weights, now);
        if (needs_load && (best == nullptr || goes_before(demand, *best, now))) {
            chosen = &weights;
            best = &demand;
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    const bool replaces = names(snapshot_->adapters, chosen->name);
    if (replaces) {
        replacing_[*chosen] = now + settings_.replacement_retry_delay;
    }
    if (replaces || places_taken() < shape_.adapter_slots) {
        return make(order_kind::load, *chosen);
    }
    if (const auto evicted = victim()) {
        return make(order_kind::unload, *evicted);
    }
    return std::nullopt;
}

bool adapter_manager::goes_before(const total& a, const total& b, time_point now) const {
    const auto done = now + duration{std::llround(usual_load_ms_)};
    const auto rank = [&](const total& of) {
        const bool is_late = of.in_time_until < done;
        return std::tuple(of.urgency, is_late, of.since);
    };
    return rank(a) < rank(b);
}

bool adapter_manager::is_replacing(const versioned_weights& weights, time_point now) const {
    const auto found = replacing_.find(weights);
    return found != replacing_.end() && now < found->second;
}

std::optional<versioned_weights> adapter_manager::victim() const {
    const versioned_weights* chosen = nullptr;
    time_point least = time_point::max();
    for (const auto& each : snapshot_->adapters) {
        const bool is_wanted = std::any_of(wanted_.begin(), wanted_.end(), [&](const auto& wanted) {
            return wanted.first.name == each.name;
        });
        if (is_wanted || is_loading(each.name)) {
            continue;
        }
        const auto rank = eviction_rank(each.name);
        if (chosen == nullptr || rank < least) {
            chosen = &each;
            least = rank;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional<versioned_weights>(*chosen);
}

engine_order adapter_manager::make(order_kind kind, const versioned_weights& weights) const {
    return {kind, weights, snapshot_->order_sequence, snapshot_->started_at_ms};
}

} // namespace camphorgrade::adapters
