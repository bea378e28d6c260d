#include <placement/slot_table.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::placement {

namespace {

constexpr std::uint32_t longest_doubling = 16;

bool lists(const engine_listing& listing, const adapter_ref& adapter) {
    return std::ranges::find(listing.adapters, adapter) != listing.adapters.end();
}

} // namespace

slot_table::slot_table(slot_table_settings settings, fencing_number fencing, time_point now)
    : settings_(settings), fencing_(fencing), listing_counts_from_(now), slots_(settings.slots) {
    CAMPHOR_PRECONDITION(settings.slots > 0);
    if (!settings_.engine_checks_fencing) {
        // Orders of the agent before this one may still be under way.
        listing_counts_from_ += settings_.order_lifetime;
    }
}

pin slot_table::hold(const adapter_ref& adapter, time_point now) {
    ++generation_;
    if (slot* held = find(adapter)) {
        held->view.last_used = now;
    }
    const auto entry = pins_.try_emplace(adapter, 0).first;
    return {entry->first, entry->second};
}

std::size_t slot_table::pins(const adapter_ref& adapter) const {
    const auto found = pins_.find(adapter);
    return found == pins_.end() ? 0 : found->second;
}

slot_state slot_table::state_of(const adapter_ref& adapter) const {
    const slot* found = find(adapter);
    return found == nullptr ? slot_state::empty : found->view.state;
}

bool slot_table::resident(const adapter_ref& adapter) const {
    return !superseded_ && state_of(adapter) == slot_state::resident;
}

std::vector<slot_view> slot_table::slots() const {
    std::vector<slot_view> views;
    views.reserve(slots_.size());
    for (const slot& each : slots_) {
        views.push_back(each.view);
        views.back().pins = pins(each.view.adapter);
    }
    return views;
}

std::size_t slot_table::count(slot_state state) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(slots_, [&](const slot& s) { return s.view.state == state; }));
}

load_readiness slot_table::readiness(const adapter_ref& adapter, time_point now) const {
    if (superseded_) {
        return load_readiness::superseded;
    }
    if (!known_) {
        return load_readiness::engine_unknown;
    }
    if (find(adapter) != nullptr) {
        return load_readiness::present;
    }
    if (unsettled(adapter, now)) {
        return load_readiness::unsettled;
    }
    const auto failed = failures_.find(adapter);
    if (failed != failures_.end() && now < failed->second.until) {
        return load_readiness::backing_off;
    }
    return count(slot_state::empty) > 0 ? load_readiness::ready : load_readiness::no_empty_slot;
}

slot_order slot_table::load(const adapter_ref& adapter, time_point now) {
    CAMPHOR_PRECONDITION(readiness(adapter, now) == load_readiness::ready);
    const auto target = std::ranges::find_if(
        slots_, [](const slot& s) { return s.view.state == slot_state::empty; });
    target->view.adapter = adapter;
    target->view.last_used = now;
    move_to(*target, slot_state::loading, now);
    return order(*target, order_kind::load, now);
}

std::optional<evictable_slot> slot_table::evictable(const adapter_ref& adapter) const {
    const slot* found = find(adapter);
    if (!may_order() || found == nullptr || found->view.state != slot_state::resident) {
        return std::nullopt;
    }
    if (pins(adapter) > 0) {
        return std::nullopt;
    }
    return evictable_slot(static_cast<std::size_t>(found - slots_.data()), generation_);
}

slot_order slot_table::evict(evictable_slot&& leave, time_point now) {
    const evictable_slot taken = std::move(leave);
    CAMPHOR_PRECONDITION(taken.generation_ == generation_);
    slot& target = slots_.at(taken.index_);
    CAMPHOR_INVARIANT(target.view.state == slot_state::resident && pins(target.view.adapter) == 0);
    move_to(target, slot_state::unloading, now);
    return order(target, order_kind::unload, now);
}

result_effect slot_table::on_result(const order_result& result, time_point now) {
    slot* target = find_order(result);
    if (target == nullptr) {
        return result_ignored{};
    }
    const bool load = target->view.state == slot_state::loading;
    switch (result.outcome) {
    case order_outcome::done:
        return loaded_or_unloaded(*target, now);
    case order_outcome::failed:
        // A failed unload leaves open what the engine holds: a listing settles it.
        return load ? load_failed(*target, now) : result_effect{result_ignored{}};
    case order_outcome::no_capacity:
        ask_ = true;
        if (load) {
            move_to(*target, slot_state::empty, now);
        }
        return result_ignored{};
    case order_outcome::stale_fencing:
        superseded_ = true;
        return result_ignored{};
    case order_outcome::unknown:
        return result_ignored{};
    }
    return result_ignored{};
}

bool slot_table::wants_listing(time_point now) const {
    if (superseded_) {
        return false;
    }
    if (ask_ || !known_) {
        return now >= listing_counts_from_;
    }
    const auto ended = [&](const auto& each) { return each.second <= now; };
    if (std::ranges::any_of(unsettled_, ended)) {
        return true;
    }
    return std::ranges::any_of(slots_, [&](const slot& s) {
        const bool ordered =
            s.view.state == slot_state::loading || s.view.state == slot_state::unloading;
        return ordered && now >= s.ordered_at + settings_.order_lifetime;
    });
}

void slot_table::on_listing(const engine_listing& listing, time_point now) {
    if (last_listing_ && listing.asked_at <= *last_listing_) {
        return;
    }
    if (listing.asked_at < listing_counts_from_) {
        return;
    }
    last_listing_ = listing.asked_at;
    on_boot(listing.boot, now);
    ask_ = false;
    known_ = true;
    std::erase_if(unsettled_, [&](const auto& each) { return each.second <= now; });
    adopt(listing, now);
    for (slot& each : slots_) {
        settle(each, listing, now);
    }
}

void slot_table::on_boot(boot_id boot, time_point now) {
    if (boot == boot_) {
        return;
    }
    boot_ = boot;
    ask_ = true;
    for (slot& each : slots_) {
        if (each.view.state == slot_state::loading || each.view.state == slot_state::unloading) {
            // The order may reach the engine in its new life.
            unsettled_[each.view.adapter] = each.ordered_at + settings_.order_lifetime;
        }
        if (each.view.state != slot_state::empty) {
            move_to(each, slot_state::empty, now);
        }
    }
}

void slot_table::on_missing(const adapter_ref& adapter, time_point now) {
    slot* found = find(adapter);
    if (found != nullptr && found->view.state == slot_state::resident) {
        ask_ = true;
        move_to(*found, slot_state::empty, now);
    }
}

std::optional<adapter_load_failed> slot_table::failure_of(const adapter_ref& adapter) const {
    const auto found = failures_.find(adapter);
    if (found == failures_.end()) {
        return std::nullopt;
    }
    return adapter_load_failed{adapter, found->second.count, found->second.until};
}

slot_table::slot* slot_table::find(const adapter_ref& adapter) {
    return const_cast<slot*>(std::as_const(*this).find(adapter));
}

const slot_table::slot* slot_table::find(const adapter_ref& adapter) const {
    const auto found = std::ranges::find_if(slots_, [&](const slot& s) {
        return s.view.state != slot_state::empty && s.view.adapter == adapter;
    });
    return found == slots_.end() ? nullptr : &*found;
}

slot_table::slot* slot_table::find_order(const order_result& result) {
    if (result.boot != boot_ || result.fencing != fencing_) {
        return nullptr;
    }
    const auto found = std::ranges::find_if(slots_, [&](const slot& s) {
        const bool ordered =
            s.view.state == slot_state::loading || s.view.state == slot_state::unloading;
        return ordered && s.order == result.id;
    });
    return found == slots_.end() ? nullptr : &*found;
}

bool slot_table::unsettled(const adapter_ref& adapter, time_point now) const {
    const auto found = unsettled_.find(adapter);
    return found != unsettled_.end() && now < found->second;
}

slot_order slot_table::order(slot& target, order_kind kind, time_point now) {
    target.order = order_id{++last_order_};
    target.ordered_at = now;
    return {target.order, kind, target.view.adapter, boot_, fencing_};
}

void slot_table::move_to(slot& target, slot_state state, time_point now) {
    ++generation_;
    target.view.state = state;
    target.view.since = now;
    if (state == slot_state::empty) {
        const auto entry = pins_.find(target.view.adapter);
        if (entry != pins_.end() && entry->second == 0) {
            pins_.erase(entry);
        }
        target.view.adapter = {};
        last_emptied_ = now;
    }
}

result_effect slot_table::loaded_or_unloaded(slot& target, time_point now) {
    const adapter_ref adapter = target.view.adapter;
    if (target.view.state == slot_state::loading) {
        failures_.erase(adapter);
        move_to(target, slot_state::resident, now);
        return adapter_loaded{adapter};
    }
    move_to(target, slot_state::empty, now);
    return adapter_unloaded{adapter};
}

result_effect slot_table::load_failed(slot& target, time_point now) {
    const adapter_ref adapter = target.view.adapter;
    failure& failed = failures_[adapter];
    const std::uint32_t doublings = std::min(failed.count, longest_doubling);
    const duration backoff = settings_.first_backoff * (std::int64_t{1} << doublings);
    ++failed.count;
    failed.until = now + std::min(backoff, settings_.longest_backoff);
    move_to(target, slot_state::empty, now);
    return adapter_load_failed{adapter, failed.count, failed.until};
}

void slot_table::settle(slot& target, const engine_listing& listing, time_point now) {
    const bool listed = lists(listing, target.view.adapter);
    if (target.view.state == slot_state::resident) {
        if (!listed && listing.asked_at > target.view.since) {
            move_to(target, slot_state::empty, now);
        }
        return;
    }
    const bool settled = listing.asked_at >= target.ordered_at + settings_.order_lifetime;
    if (target.view.state != slot_state::empty && settled) {
        move_to(target, listed ? slot_state::resident : slot_state::empty, now);
    }
}

void slot_table::adopt(const engine_listing& listing, time_point now) {
    if (listing.asked_at < last_emptied_) {
        ask_ = true; // It may show what has been unloaded since.
        return;
    }
    for (const adapter_ref& each : listing.adapters) {
        const auto free = std::ranges::find_if(
            slots_, [](const slot& s) { return s.view.state == slot_state::empty; });
        if (free == slots_.end()) {
            return;
        }
        if (find(each) != nullptr || unsettled(each, now)) {
            continue;
        }
        free->view.adapter = each;
        free->view.last_used = now;
        move_to(*free, slot_state::resident, now);
    }
}

} // namespace camphorgrade::placement
