#pragma once

#include "../path/child_process.h"
#include "ledger.h"

#include <kernel/clock.h>

#include <optional>
#include <string>

namespace camphorgrade::soak {

/** How to start a program under test. */
struct program_spec {
    std::string program;
    std::string node_name;
    std::string settings; /**< Text of the settings file, without `bootstrap`. */
    std::string folder;   /**< Directory of the settings file and the log. */
};

/**
 * A program under test in its own process. Signals pause, terminate or kill the process, and poll()
 * resumes it or starts it again. Reports a violation if the process exits with an error or without
 * having been terminated. Not thread safe.
 */
class soak_process {
public:
    soak_process(program_spec spec, ledger& request_ledger);

    /** Starts the process; `bootstrap` is true in its settings on the first start only. */
    void start(time_point now);

    /**
     * Sends SIGSTOP; poll() resumes the process after `pause_duration`. Has no effect on a
     * process that is paused, stopping or not running.
     */
    void pause(time_point now, duration pause_duration);

    /** Sends SIGKILL; poll() starts the process again after `restart_delay`. */
    void kill(time_point now, duration restart_delay);

    /**
     * Sends SIGTERM; poll() starts the process again after it has exited. Has no effect on a
     * process that is paused, stopping or not running.
     */
    void terminate(time_point now);

    /** Sends SIGHUP. */
    void send_hangup(time_point now);

    /** Resumes or restarts the process when due and checks its exit. Must be called frequently. */
    void poll(time_point now);

    /** Resumes the process if it is paused, and starts it if it waits for a restart. */
    void restore(time_point now);

    /** Whether the process is not running or was asked to stop. */
    bool is_unavailable() const noexcept { return !child_ || is_stopping_; }
    bool is_running() const noexcept { return child_.has_value(); }

    /** Time since the last signal or start; 0 while it is paused, stopping or not running. */
    duration fault_free_time(time_point now) const;

    std::string log_path() const { return spec_.folder + '/' + spec_.node_name + ".log"; }

private:
    void on_exit(int code, time_point now);

    program_spec spec_;
    ledger& ledger_;
    std::optional<testing::child_process> child_;
    bool was_started_ = false;
    bool is_stopping_ = false;
    std::optional<time_point> paused_until_;
    std::optional<time_point> restart_at_;
    time_point stop_started_{};
    time_point last_fault_{};
};

} // namespace camphorgrade::soak
