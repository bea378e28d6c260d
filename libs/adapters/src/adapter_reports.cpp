#include <adapters/adapter_keeper.h>

#include <kernel/check.h>
#include <kernel/scaled.h>

#include <algorithm>

/** @file What an adapter_keeper tells gateways, and whom. */
namespace camphorgrade::adapters {

std::optional<serving::model_load> adapter_keeper::coming_model(time_point now) const {
    const auto* model = wanted_model();
    if (!snapshot_->models.empty() || model == nullptr) {
        return std::nullopt;
    }
    const auto whole = model->load_time;
    const auto local = scaled(whole, settings_.local_load_part);
    const auto passed = model_ordered_ ? now - *model_ordered_ : duration::zero();
    const auto rest = passed < local   ? local - passed
                      : passed < whole ? whole - passed
                                       : passed - whole; // as long again as it is overdue
    return serving::model_load{model->name, std::max(rest, settings_.shortest_rest)};
}

serving::engine_state adapter_keeper::state(time_point now) const {
    CAMPHOR_PRECONDITION(snapshot_.has_value());
    serving::engine_state out;
    out.born = snapshot_->born;
    out.models = snapshot_->models;
    out.coming_model = coming_model(now);
    const auto in_use = [&](const std::string& name) {
        std::uint32_t users = 0;
        for (const auto& [weights, demand] : wanted_) {
            users += weights.name == name ? demand.in_use : 0;
        }
        return users;
    };
    for (const auto& each : snapshot_->adapters) {
        out.adapters.push_back({each, false, in_use(each.name)});
    }
    for (const auto& each : snapshot_->loading) {
        out.adapters.push_back({each, true, in_use(each.name)});
    }
    out.evictable = static_cast<std::uint32_t>(evictable());
    out.unplaced = static_cast<std::uint32_t>(unplaced());
    out.waiting = snapshot_->waiting;
    out.running = snapshot_->running;
    out.kv_used = snapshot_->kv_used;
    out.kv_total = snapshot_->kv_total;
    out.queued_prompt_tokens = queued_prompt_tokens_;
    out.cold_loads = cold_loads_;
    out.last_cold_load = last_cold_load_;
    return out;
}

bool adapter_keeper::is_active() const {
    if (!snapshot_) {
        return true;
    }
    const bool is_waited_for = std::any_of(
        wanted_.begin(), wanted_.end(), [](const auto& each) { return each.second.waiting > 0; });
    return is_waited_for || !snapshot_->loading.empty() || snapshot_->models.empty();
}

std::vector<std::string> adapter_keeper::waiting_gateways() const {
    std::vector<std::string> out;
    for (const auto& [name, view] : gateways_) {
        const auto& wants = view.demand.wants;
        if (std::any_of(wants.begin(), wants.end(),
                        [](const adapter_want& each) { return each.waiting > 0; })) {
            out.push_back(name);
        }
    }
    return out;
}

std::vector<std::string> adapter_keeper::gateways(report_wish wish, time_point now) const {
    std::vector<std::string> out;
    for (const auto& [name, view] : gateways_) {
        if (view.demand.wish == wish && now - view.heard < settings_.gateway_silence) {
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
