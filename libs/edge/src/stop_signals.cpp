#include <edge/stop_signals.h>

#include <csignal>
#include <initializer_list>

namespace camphorgrade::edge {

namespace {

sigset_t stop_signals() {
    sigset_t out;
    sigemptyset(&out);
    for (const int each : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&out, each);
    }
    return out;
}

} // namespace

void defer_stop_signals() {
    const auto signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void deliver_stop_signals() {
    const auto signals = stop_signals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

} // namespace camphorgrade::edge
