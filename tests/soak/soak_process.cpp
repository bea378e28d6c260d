#include "soak_process.h"

#include <csignal>
#include <fstream>
#include <utility>
#include <vector>

namespace camphorgrade::soak {

namespace {

// The platform kills a process that takes longer to stop.
constexpr duration shutdown_grace{8'000};
constexpr duration restart_delay{100};
constexpr const char* metrics_port = "9464";

} // namespace

soak_process::soak_process(program_spec spec, ledger& record)
    : spec_(std::move(spec)), record_(record) {}

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
    start_at_.reset();
    disturbed_ = now;
}

void soak_process::pause(time_point now, duration length) {
    if (!child_ || is_stopping_ || paused_until_) {
        return;
    }
    child_->signal(SIGSTOP);
    paused_until_ = now + length;
    disturbed_ = now;
}

void soak_process::kill(time_point now, duration until_start) {
    if (!child_) {
        return;
    }
    child_->kill();
    child_.reset();
    paused_until_.reset();
    start_at_ = now + until_start;
    disturbed_ = now;
}

void soak_process::terminate(time_point now) {
    if (!child_ || is_stopping_ || paused_until_) {
        return;
    }
    child_->signal(SIGTERM);
    is_stopping_ = true;
    stop_began_ = now;
    disturbed_ = now;
}

void soak_process::hang_up(time_point now) {
    if (child_ && !is_stopping_) {
        child_->signal(SIGHUP);
        disturbed_ = now;
    }
}

void soak_process::poll(time_point now) {
    if (paused_until_ && now >= *paused_until_) {
        child_->signal(SIGCONT);
        paused_until_.reset();
        disturbed_ = now;
    }
    if (child_) {
        if (const auto code = child_->try_wait()) {
            on_exit(*code, now);
        } else if (is_stopping_ && now - stop_began_ > shutdown_grace) {
            record_.violate("stops within its grace", spec_.node_name);
            kill(now, restart_delay);
        }
    }
    if (!child_ && start_at_ && now >= *start_at_) {
        start(now);
    }
}

void soak_process::on_exit(int code, time_point now) {
    child_.reset();
    if (!is_stopping_ || code != 0) {
        record_.violate("ends only when told to, with success",
                        spec_.node_name + " code " + std::to_string(code));
    }
    start_at_ = now + restart_delay;
    disturbed_ = now;
}

void soak_process::bring_back(time_point now) {
    if (paused_until_) {
        paused_until_ = now;
    }
    if (start_at_) {
        start_at_ = now;
    }
    poll(now);
}

duration soak_process::calm_for(time_point now) const {
    return !child_ || is_stopping_ || paused_until_ ? duration::zero() : now - disturbed_;
}

} // namespace camphorgrade::soak
