#pragma once

#include <placement/slot_order.h>

#include <algorithm>
#include <map>
#include <set>

namespace camphorgrade::placement {

/** A model engine that does what it is told and notes whether that was wrong. */
class fake_engine {
public:
    fake_engine(std::size_t capacity, bool checks_fencing)
        : capacity_(capacity), checks_fencing_(checks_fencing) {}

    order_result apply(const slot_order& order) {
        return {order.id, boot(), order.fencing, outcome_of(order)};
    }

    /** Starts a run; false when the engine does not hold the adapter. */
    bool run(std::uint64_t request, const adapter_ref& adapter) {
        if (!loaded_.contains(adapter)) {
            return false;
        }
        running_[request] = adapter;
        return true;
    }

    void end(std::uint64_t request) { running_.erase(request); }
    bool runs(std::uint64_t request) const { return running_.contains(request); }
    void abort_all() { running_.clear(); }

    void restart() {
        ++boot_;
        loaded_.clear();
        running_.clear();
    }

    engine_listing listing(fencing_number fencing, time_point asked_at) {
        highest_ = std::max(highest_, fencing);
        return {boot(), {loaded_.begin(), loaded_.end()}, asked_at};
    }

    boot_id boot() const { return boot_id{boot_}; }
    bool evicted_in_use() const { return evicted_in_use_; }
    void fail_loads_of(const adapter_ref& adapter) { failing_.insert(adapter); }
    bool holds(const adapter_ref& adapter) const { return loaded_.contains(adapter); }

private:
    order_outcome outcome_of(const slot_order& order) {
        if (checks_fencing_ && order.fencing < highest_) {
            return order_outcome::stale_fencing;
        }
        highest_ = std::max(highest_, order.fencing);
        if (order.kind == order_kind::unload) {
            evicted_in_use_ |= std::ranges::any_of(
                running_, [&](const auto& each) { return each.second == order.adapter; });
            return loaded_.erase(order.adapter) > 0 ? order_outcome::done : order_outcome::failed;
        }
        if (failing_.contains(order.adapter)) {
            return order_outcome::failed;
        }
        if (!loaded_.contains(order.adapter) && loaded_.size() >= capacity_) {
            return order_outcome::no_capacity;
        }
        loaded_.insert(order.adapter);
        return order_outcome::done;
    }

    std::size_t capacity_;
    bool checks_fencing_;
    std::uint64_t boot_ = 1;
    fencing_number highest_;
    std::set<adapter_ref> loaded_;
    std::set<adapter_ref> failing_;
    std::map<std::uint64_t, adapter_ref> running_;
    bool evicted_in_use_ = false;
};

} // namespace camphorgrade::placement
