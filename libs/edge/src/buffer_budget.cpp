#include <edge/buffer_budget.h>

#include <utility>

namespace camphorgrade::edge {

buffer_budget::buffer_budget(std::size_t max_bytes, std::function<void()> on_exceeded)
    : max_(max_bytes), on_exceeded_(std::move(on_exceeded)) {}

void buffer_budget::replace(const entry& before, const entry& after) {
    if (before.bytes > 0) {
        entries_.erase(before);
    }
    if (after.bytes > 0) {
        entries_.insert(after);
    }
    used_ = used_ - before.bytes + after.bytes;
    const bool has_grown = after.bytes > before.bytes;
    if (has_grown && used_ > max_ && !is_enforcement_due_) {
        is_enforcement_due_ = true;
        on_exceeded_();
    }
}

std::vector<std::size_t> buffer_budget::enforce() {
    is_enforcement_due_ = false;
    std::vector<std::size_t> released;
    const std::vector<entry> by_size(entries_.rbegin(), entries_.rend());
    for (const auto& each : by_size) {
        if (used_ <= max_) {
            break;
        }
        // One that was released may have ended others.
        if (entries_.count(each) == 0 || !each.share->holder_.release_buffers()) {
            continue;
        }
        released.push_back(each.bytes);
        if (entries_.count(each) != 0) { // what it still holds is freed later
            each.share->set(0);
        }
    }
    return released;
}

buffer_share::buffer_share(buffer_budget* budget, buffer_holder& holder)
    : budget_(budget), holder_(holder), number_(budget == nullptr ? 0 : budget->next_number_++) {}

buffer_share::~buffer_share() {
    set(0);
}

void buffer_share::set(std::size_t bytes) {
    const auto counted = bytes / unit_bytes * unit_bytes;
    if (budget_ == nullptr || counted == counted_) {
        return;
    }
    const auto before = std::exchange(counted_, counted);
    budget_->replace({before, number_, this}, {counted, number_, this});
}

} // namespace camphorgrade::edge
