#include <kernel/clock.h>

#include <kernel/check.h>

namespace camphorgrade {

void manual_clock::advance_to(time_point to) {
    CAMPHOR_PRECONDITION(to >= now_);
    now_ = to;
}

time_point monotonic_clock::now() const {
    const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_boot)};
}

} // namespace camphorgrade
