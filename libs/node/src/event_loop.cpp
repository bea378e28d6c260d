#include <node/event_loop.h>

#include <poll.h>

#include <algorithm>
#include <array>

namespace camphorgrade {

namespace {

constexpr duration longest_wait{500};

} // namespace

event_loop::event_loop(micro_kernel& kernel, inbox& events, message_port& messages,
                       const clock& time)
    : kernel_(kernel), inbox_(events), messages_(messages), clock_(time) {}

void event_loop::run() {
    carry_out(kernel_.start(clock_.now()));
    bool told = false;
    while (!exit_) {
        for (const auto& arrived : messages_.take()) {
            handle(message_received{arrived});
        }
        for (const auto& happened : inbox_.take()) {
            handle(happened);
        }
        fire_due_timers();
        if (shutdown_ && !told) {
            told = true;
            handle(shutdown_requested{});
        }
        if (!exit_) {
            wait();
        }
    }
}

void event_loop::request_shutdown() noexcept {
    shutdown_ = true;
    inbox_.wake();
}

void event_loop::wait() {
    duration patience = longest_wait;
    if (!timers_.empty()) {
        patience = std::clamp(timers_.top().at - clock_.now(), duration{0}, longest_wait);
    }
    std::array<pollfd, 2> watched{pollfd{messages_.poll_fd(), POLLIN, 0},
                                  pollfd{inbox_.poll_fd(), POLLIN, 0}};
    // The message descriptor is edge-triggered: what arrived since take() is seen only here.
    if (messages_.has_waiting()) {
        return;
    }
    poll(watched.data(), watched.size(), static_cast<int>(patience.count()));
}

void event_loop::handle(const event& happened) {
    carry_out(kernel_.handle(happened, clock_.now()));
}

void event_loop::carry_out(const std::vector<effect>& effects) {
    for (const auto& wanted : effects) {
        if (const auto* armed = std::get_if<set_timer>(&wanted)) {
            timers_.push({armed->at, ++sequence_, {armed->service, armed->id}});
        } else if (std::holds_alternative<begin_shutdown>(wanted)) {
            request_shutdown();
        } else if (std::holds_alternative<exit_process>(wanted)) {
            exit_ = true;
        } else {
            const bool done = std::any_of(ports_.begin(), ports_.end(),
                                          [&](port* each) { return each->carry_out(wanted); });
            CAMPHOR_INVARIANT(done);
        }
    }
}

void event_loop::fire_due_timers() {
    while (!timers_.empty() && timers_.top().at <= clock_.now()) {
        const timer_fired fired = timers_.top().fired;
        timers_.pop();
        handle(fired);
    }
}

} // namespace camphorgrade
