#include <node/inbox.h>

#include <kernel/check.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <cstdint>
#include <utility>

namespace camphorgrade {

inbox::inbox() : wake_fd_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    CAMPHOR_INVARIANT(wake_fd_ >= 0);
}

inbox::~inbox() {
    close(wake_fd_);
}

void inbox::post(event happened) {
    {
        const std::lock_guard lock(mutex_);
        waiting_.push_back(std::move(happened));
    }
    wake();
}

std::vector<event> inbox::take() {
    std::uint64_t count = 0;
    // Cleared before the events are taken, so that one posted meanwhile wakes the loop again.
    [[maybe_unused]] const auto cleared = read(wake_fd_, &count, sizeof count);
    const std::lock_guard lock(mutex_);
    return std::exchange(waiting_, {});
}

void inbox::wake() noexcept {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = write(wake_fd_, &one, sizeof one);
}

} // namespace camphorgrade
