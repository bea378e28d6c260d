#include <kernel/clock.h>

#include <kernel/check.h>

#include <ctime>

namespace camphorgrade {

void manual_clock::advance_to(time_point to) {
    CAMPHOR_PRECONDITION(to >= now_);
    now_ = to;
}

time_point monotonic_clock::now() const {
    // CLOCK_BOOTTIME includes the time for which the VM was suspended: deadlines and leases expire
    // in this time too.
    timespec since_boot{};
    CAMPHOR_INVARIANT(::clock_gettime(CLOCK_BOOTTIME, &since_boot) == 0);
    return time_point{std::chrono::duration_cast<duration>(
        std::chrono::seconds{since_boot.tv_sec} + std::chrono::nanoseconds{since_boot.tv_nsec})};
}

} // namespace camphorgrade
