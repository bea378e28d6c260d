#include <adapters/adapter_manager.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace camphorgrade::adapters {

using serving::versioned_weights;

namespace {

bool contains_name(const std::vector<versioned_weights>& held, const std::string& name) {
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
    : settings_(settings),
      typical_load_ms_(static_cast<double>(settings.initial_load_time.count())) {}

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
        capacity_ = demand.shape;
    }
    gateways_[gateway] = {std::move(demand), now};
    aggregate_demand(now);
    return demand_result::accepted;
}

void adapter_manager::aggregate_demand(time_point now) {
    std::erase_if(gateways_, [&](const auto& each) {
        return now - each.second.received_at >= settings_.demand_expiry;
    });
    const auto before = std::exchange(wanted_, {});
    queued_prompt_tokens_ = 0;
    for (const auto& [name, view] : gateways_) {
        queued_prompt_tokens_ += view.demand.queued_prompt_tokens;
        for (const auto& each : view.demand.adapters) {
            const auto waiting_since = view.received_at - each.oldest_wait;
            auto [entry, is_new] = wanted_.try_emplace(
                each.weights, demand_total{0, 0, each.urgency, waiting_since, {}});
            entry->second.waiting += each.waiting;
            entry->second.in_use += each.in_use;
            entry->second.urgency = std::min(entry->second.urgency, each.urgency);
            entry->second.waiting_since = std::min(entry->second.waiting_since, waiting_since);
            entry->second.latest_useful_end = std::max(entry->second.latest_useful_end,
                                                       view.received_at + each.time_to_objective);
        }
    }
    record_urgency(now);
    record_uses(before, now);
}

void adapter_manager::record_urgency(time_point now) {
    for (const auto& each : wanted_) {
        const auto urgency = each.second.urgency;
        if (urgency <= most_urgent_ || now - most_urgent_at_ >= settings_.urgency_memory) {
            most_urgent_ = urgency;
            most_urgent_at_ = now;
        }
    }
}

void adapter_manager::record_uses(const std::map<versioned_weights, demand_total>& before,
                                  time_point now) {
    for (const auto& [weights, demand] : wanted_) {
        const auto found = before.find(weights);
        const auto previous = found == before.end() ? 0U : found->second.requests();
        auto& record = use_history_[weights.name];
        record.last_use = now;
        record.uses += demand.requests() > previous ? demand.requests() - previous : 0;
    }
    std::erase_if(use_history_, [&](const auto& each) {
        return now - each.second.last_use > settings_.use_history;
    });
}

time_point adapter_manager::eviction_rank(const std::string& name) const {
    const auto found = use_history_.find(name);
    if (found == use_history_.end()) {
        return {};
    }
    const auto& record = found->second;
    const auto reuses = std::min(record.uses > 0 ? record.uses - 1 : 0, settings_.max_reuses);
    return record.last_use + settings_.retention_per_reuse * static_cast<int>(reuses);
}

void adapter_manager::on_snapshot(engine_snapshot snapshot, std::uint64_t count_at_request,
                                  time_point now) {
    if (count_at_request != order_result_count_ || is_order_open_) {
        return;
    }
    if (snapshot_ && snapshot_->started_at_ms != snapshot.started_at_ms) {
        paused_until_ = now;
        model_paused_until_ = now;
        model_ordered_at_.reset();
        replacement_paused_until_.clear();
        use_history_.clear();
        cold_load_orders_.clear();
        held_before_.clear();
        gateways_.clear();
        backend_id_.clear();
    }
    needs_snapshot_ = false;
    snapshot_ = std::move(snapshot);
    record_completed_loads(now);
    aggregate_demand(now);
}

void adapter_manager::record_completed_loads(time_point now) {
    for (const auto& each : snapshot_->adapters) {
        const auto found = cold_load_orders_.find(each.name);
        if (found != cold_load_orders_.end()) {
            record_load_time(now - found->second);
            update_less_urgent_pause(now);
            cold_load_orders_.erase(found);
        }
        held_before_.insert(each.name);
    }
    // A load whose adapter is neither held nor loading has failed.
    std::erase_if(cold_load_orders_, [&](const auto& each) { return !is_loading(each.first); });
}

void adapter_manager::on_order_result(const engine_order& order, order_result result,
                                      time_point now) {
    is_order_open_ = false;
    needs_snapshot_ = true;
    ++order_result_count_;
    if (result == order_result::refused) {
        paused_until_ = now + settings_.refusal_backoff;
        return;
    }
    if (order.kind == order_kind::load && !is_adapter(order.weights.name)) {
        // Recorded without a response, too: the engine may be executing the order.
        model_ordered_at_ = model_ordered_at_.value_or(now);
    }
    if (result == order_result::accepted && order.kind == order_kind::load) {
        use_history_[order.weights.name].last_use = now;
        if (is_adapter(order.weights.name) && !is_warm(order.weights.name)) {
            cold_load_orders_[order.weights.name] = now;
        }
    }
}

duration adapter_manager::typical_load_time() const {
    return duration{std::llround(typical_load_ms_)};
}

void adapter_manager::record_load_time(duration load_time) {
    ++cold_loads_;
    last_cold_load_ = load_time;
    const auto ms = static_cast<double>(load_time.count());
    typical_load_ms_ = ms < typical_load_ms_ ? ms
                                             : typical_load_ms_ + settings_.slow_load_weight *
                                                                      (ms - typical_load_ms_);
}

bool adapter_manager::is_store_busy() const {
    return cold_loads_ == 0 || static_cast<double>(last_cold_load_.count()) >
                                   typical_load_ms_ * settings_.busy_load_ratio;
}

std::uint32_t adapter_manager::cold_load_limit() const {
    return is_store_busy() ? settings_.max_cold_loads_when_busy : settings_.max_cold_loads;
}

bool adapter_manager::is_less_urgent(std::uint32_t urgency, time_point now) const {
    return urgency > most_urgent_ && now - most_urgent_at_ < settings_.urgency_memory;
}

void adapter_manager::update_less_urgent_pause(time_point now) {
    less_urgent_pause_ = is_store_busy() ? std::max(less_urgent_pause_ * 2, typical_load_time())
                                         : less_urgent_pause_ / 2;
    less_urgent_pause_ = std::min(less_urgent_pause_, settings_.max_less_urgent_pause);
    less_urgent_paused_until_ = now + less_urgent_pause_;
}

bool adapter_manager::may_load_cold(const demand_total& demand, std::size_t cold_loads,
                                    time_point now) const {
    if (!settings_.defers_less_urgent_loads || !is_store_busy()) {
        return cold_loads < cold_load_limit();
    }
    if (is_less_urgent(demand.urgency, now)) {
        return now >= less_urgent_paused_until_ && cold_loads < cold_load_limit();
    }
    return cold_loads < settings_.max_cold_loads;
}

std::size_t adapter_manager::cold_loads_in_progress() const {
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
    return contains_name(snapshot_->loading, name);
}

std::size_t adapter_manager::occupied_slots() const {
    const auto only_loading = std::count_if(
        snapshot_->loading.begin(), snapshot_->loading.end(), [&](const versioned_weights& each) {
            return !contains_name(snapshot_->adapters, each.name);
        });
    return snapshot_->adapters.size() + static_cast<std::size_t>(only_loading);
}

std::size_t adapter_manager::available_slots() const {
    const std::size_t taken = occupied_slots();
    const std::size_t free = capacity_.adapter_slots > taken ? capacity_.adapter_slots - taken : 0;
    const auto idle = std::count_if(
        snapshot_->adapters.begin(), snapshot_->adapters.end(), [&](const versioned_weights& each) {
            const bool is_wanted =
                std::any_of(wanted_.begin(), wanted_.end(),
                            [&](const auto& wanted) { return wanted.first.name == each.name; });
            return !is_wanted && !is_loading(each.name);
        });
    return free + static_cast<std::size_t>(idle);
}

bool adapter_manager::needs_slot(const versioned_weights& weights,
                                 const demand_total& demand) const {
    return demand.waiting > 0 && is_adapter(weights.name) && !is_held(weights) &&
           !is_loading(weights.name);
}

std::size_t adapter_manager::unplaced_count() const {
    const auto count = std::count_if(wanted_.begin(), wanted_.end(), [&](const auto& each) {
        return needs_slot(each.first, each.second);
    });
    return static_cast<std::size_t>(count);
}

std::optional<engine_order> adapter_manager::next_order(time_point now) {
    const bool is_ready = snapshot_ && !needs_snapshot_ && !backend_id_.empty();
    if (!is_ready || is_order_open_ || now < paused_until_) {
        return std::nullopt;
    }
    aggregate_demand(now);
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
    return make_order(order_kind::load, {model->name, 0});
}

const serving::base_model* adapter_manager::wanted_model() const {
    const auto fits =
        std::find_if(capacity_.models.begin(), capacity_.models.end(), [&](const auto& each) {
            return each.weights_mb <= capacity_.weights_capacity_mb;
        });
    return fits == capacity_.models.end() ? nullptr : &*fits;
}

std::optional<engine_order> adapter_manager::adapter_order(time_point now) {
    if (snapshot_->loading.size() >= settings_.max_loads) {
        return std::nullopt;
    }
    const auto cold_loads = cold_loads_in_progress();
    const versioned_weights* chosen = nullptr;
    const demand_total* best = nullptr;
    for (const auto& [weights, demand] : wanted_) {
        const bool needs_load = needs_slot(weights, demand) &&
                                (is_warm(weights.name) || may_load_cold(demand, cold_loads, now)) &&
                                weights.version >= newest_wanted(weights.name) &&
                                contains_name(snapshot_->models, model_of(weights.name)) &&
                                !is_replacement_paused(weights, now);
        if (needs_load && (best == nullptr || loads_before(demand, *best, now))) {
            chosen = &weights;
            best = &demand;
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    const bool replaces = contains_name(snapshot_->adapters, chosen->name);
    if (replaces) {
        replacement_paused_until_[*chosen] = now + settings_.replacement_retry_delay;
    }
    if (replaces || occupied_slots() < capacity_.adapter_slots) {
        return make_order(order_kind::load, *chosen);
    }
    if (const auto evicted = eviction_candidate()) {
        return make_order(order_kind::unload, *evicted);
    }
    return std::nullopt;
}

bool adapter_manager::loads_before(const demand_total& a, const demand_total& b,
                                   time_point now) const {
    const auto load_end = now + typical_load_time();
    const auto rank = [&](const demand_total& demand) {
        const bool is_late = demand.latest_useful_end < load_end;
        return std::tuple(demand.urgency, is_late, demand.waiting_since);
    };
    return rank(a) < rank(b);
}

bool adapter_manager::is_replacement_paused(const versioned_weights& weights,
                                            time_point now) const {
    const auto found = replacement_paused_until_.find(weights);
    return found != replacement_paused_until_.end() && now < found->second;
}

std::optional<versioned_weights> adapter_manager::eviction_candidate() const {
    const versioned_weights* chosen = nullptr;
    time_point lowest = time_point::max();
    for (const auto& each : snapshot_->adapters) {
        const bool is_wanted = std::any_of(wanted_.begin(), wanted_.end(), [&](const auto& wanted) {
            return wanted.first.name == each.name;
        });
        if (is_wanted || is_loading(each.name)) {
            continue;
        }
        const auto rank = eviction_rank(each.name);
        if (chosen == nullptr || rank < lowest) {
            chosen = &each;
            lowest = rank;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional<versioned_weights>(*chosen);
}

engine_order adapter_manager::make_order(order_kind kind, const versioned_weights& weights) const {
    return {kind, weights, snapshot_->order_sequence, snapshot_->started_at_ms};
}

} // namespace camphorgrade::adapters
