#include <node/shutdown_signal.h>

#include <node/event_loop.h>

#include <kernel/check.h>

#include <atomic>
#include <csignal>

namespace camphorgrade {

namespace {

std::atomic<event_loop*> target{nullptr};

void on_signal(int /*number*/) {
    if (event_loop* loop = target.load()) {
        loop->request_shutdown();
    }
}

} // namespace

shutdown_signal::shutdown_signal(event_loop& loop) {
    CAMPHOR_PRECONDITION(target.load() == nullptr);
    target = &loop;
    std::signal(SIGTERM, on_signal);
    std::signal(SIGINT, on_signal);
    std::signal(SIGPIPE, SIG_IGN);
}

shutdown_signal::~shutdown_signal() {
    std::signal(SIGTERM, SIG_DFL);
    std::signal(SIGINT, SIG_DFL);
    target = nullptr;
}

} // namespace camphorgrade
