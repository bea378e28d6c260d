#include <delivery/retry_budget.h>

#include <kernel/check.h>

#include <algorithm>

namespace camphorgrade::delivery {

retry_budget::retry_budget(retry_budget_settings settings)
    : settings_(settings), tokens_(settings.reserve) {
    CAMPHOR_PRECONDITION(settings.share >= 0 && settings.share <= 1);
    CAMPHOR_PRECONDITION(settings.reserve >= 0);
}

void retry_budget::on_first_attempt() noexcept {
    tokens_ = std::min(tokens_ + settings_.share, std::max(settings_.reserve, 1.0));
}

bool retry_budget::try_spend() noexcept {
    if (tokens_ < 1) {
        return false;
    }
    tokens_ -= 1;
    return true;
}

} // namespace camphorgrade::delivery
