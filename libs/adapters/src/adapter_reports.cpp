#include <adapters/adapter_manager.h>

#include <kernel/check.h>
#include <kernel/scaled.h>

#include <algorithm>

/** @file The state that an adapter_manager reports to gateways, and who receives it. */
namespace camphorgrade::adapters {

std::optional<serving::model_load> adapter_manager::pending_model(time_point now) const {
    const auto* model = wanted_model();
    if (!snapshot_->models.empty() || model == nullptr) {
        return std::nullopt;
    }
    const auto full_time = model->load_time;
    const auto local_time = scaled(full_time, settings_.local_load_ratio);
    const auto elapsed = model_ordered_at_ ? now - *model_ordered_at_ : duration::zero();
    // A load that is overdue is expected to take as long again as it is overdue.
    const auto remaining = elapsed < local_time  ? local_time - elapsed
                           : elapsed < full_time ? full_time - elapsed
                                                 : elapsed - full_time;
    return serving::model_load{model->name, std::max(remaining, settings_.min_remaining_time)};
}

serving::engine_state adapter_manager::state(time_point now) const {
    CAMPHOR_PRECONDITION(snapshot_.has_value());
    serving::engine_state out;
    out.started_at_ms = snapshot_->started_at_ms;
    out.models = snapshot_->models;
    out.pending_model = pending_model(now);
    const auto users_of = [&](const std::string& name) {
        std::uint32_t users = 0;
        for (const auto& [weights, demand] : wanted_) {
            users += weights.name == name ? demand.in_use : 0;
        }
        return users;
    };
    for (const auto& each : snapshot_->adapters) {
        out.adapters.push_back({each, false, users_of(each.name)});
    }
    for (const auto& each : snapshot_->loading) {
        out.adapters.push_back({each, true, users_of(each.name)});
    }
    out.available_adapter_slots = static_cast<std::uint32_t>(available_slots());
    out.unplaced = static_cast<std::uint32_t>(unplaced_count());
    out.waiting = snapshot_->waiting;
    out.running = snapshot_->running;
    out.kv_used = snapshot_->kv_used;
    out.kv_total = snapshot_->kv_total;
    out.queued_prompt_tokens = queued_prompt_tokens_;
    out.cold_loads = cold_loads_;
    out.last_cold_load = last_cold_load_;
    return out;
}

bool adapter_manager::is_active() const {
    if (!snapshot_) {
        return true;
    }
    const bool is_waited_for = std::any_of(
        wanted_.begin(), wanted_.end(), [](const auto& each) { return each.second.waiting > 0; });
    return is_waited_for || !snapshot_->loading.empty() || snapshot_->models.empty();
}

std::vector<std::string> adapter_manager::waiting_gateways() const {
    std::vector<std::string> out;
    for (const auto& [name, view] : gateways_) {
        const auto& adapters = view.demand.adapters;
        if (std::any_of(adapters.begin(), adapters.end(),
                        [](const wanted_adapter& each) { return each.waiting > 0; })) {
            out.push_back(name);
        }
    }
    return out;
}

std::vector<std::string> adapter_manager::subscribers(report_subscription subscription,
                                                      time_point now) const {
    std::vector<std::string> out;
    for (const auto& [name, view] : gateways_) {
        if (view.demand.subscription == subscription &&
            now - view.received_at < settings_.demand_expiry) {
            out.push_back(name);
        }
    }
    return out;
}

std::string_view to_string(order_result result) noexcept {
    switch (result) {
    case order_result::accepted:
        return "accepted";
    case order_result::refused:
        return "refused";
    case order_result::unanswered:
        return "unanswered";
    }
    return "unknown";
}

} // namespace camphorgrade::adapters
