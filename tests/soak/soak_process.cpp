#include "soak_process.h"

#include <csignal>
#include <fstream>
#include <utility>
#include <vector>

namespace camphorgrade::soak {

namespace {

// The platform kills a process that takes longer to stop.
constexpr duration shutdown_grace{8'000};
constexpr duration default_restart_delay{100};
constexpr const char* metrics_port = "9464";

} // namespace

soak_process::soak_process(program_spec spec, ledger& request_ledger)
    : spec_(std::move(spec)), ledger_(request_ledger) {}

void soak_process::start(time_point now) {
    const auto path = spec_.folder + '/' + spec_.node_name + ".conf";
    std::ofstream file(path);
    file << spec_.settings << "bootstrap=" << (was_started_ ? "false" : "true") << '\n';
    file.close();
    child_.emplace(spec_.program,
                   std::vector<std::string>{"--settings", path, "--metrics-port", metrics_port},
                   log_path());
    was_started_ = true;
    is_stopping_ = false;
    restart_at_.reset();
    last_fault_ = now;
}

void soak_process::pause(time_point now, duration pause_duration) {
    if (!child_ || is_stopping_ || paused_until_) {
        return;
    }
    child_->signal(SIGSTOP);
    paused_until_ = now + pause_duration;
    last_fault_ = now;
}

void soak_process::kill(time_point now, duration restart_delay) {
    if (!child_) {
        return;
    }
    child_->kill();
    child_.reset();
    paused_until_.reset();
    restart_at_ = now + restart_delay;
    last_fault_ = now;
}

void soak_process::terminate(time_point now) {
    if (!child_ || is_stopping_ || paused_until_) {
        return;
    }
    child_->signal(SIGTERM);
    is_stopping_ = true;
    stop_started_ = now;
    last_fault_ = now;
}

void soak_process::send_hangup(time_point now) {
    if (child_ && !is_stopping_) {
        child_->signal(SIGHUP);
        last_fault_ = now;
    }
}

void soak_process::poll(time_point now) {
    if (paused_until_ && now >= *paused_until_) {
        child_->signal(SIGCONT);
        paused_until_.reset();
        last_fault_ = now;
    }
    if (child_) {
        if (const auto code = child_->try_wait()) {
            on_exit(*code, now);
        } else if (is_stopping_ && now - stop_started_ > shutdown_grace) {
            ledger_.report_violation("processes stop within the shutdown grace period",
                                     spec_.node_name);
            kill(now, default_restart_delay);
        }
    }
    if (!child_ && restart_at_ && now >= *restart_at_) {
        start(now);
    }
}

void soak_process::on_exit(int code, time_point now) {
    child_.reset();
    if (!is_stopping_ || code != 0) {
        ledger_.report_violation("processes exit only when asked to, with exit code 0",
                                 spec_.node_name + " exit code " + std::to_string(code));
    }
    restart_at_ = now + default_restart_delay;
    last_fault_ = now;
}

void soak_process::restore(time_point now) {
    if (paused_until_) {
        paused_until_ = now;
    }
    if (restart_at_) {
        restart_at_ = now;
    }
    poll(now);
}

duration soak_process::fault_free_time(time_point now) const {
    return !child_ || is_stopping_ || paused_until_ ? duration::zero() : now - last_fault_;
}

} // namespace camphorgrade::soak
