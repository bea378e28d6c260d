#pragma once

#include "../path/child_process.h"
#include "ledger.h"

#include <kernel/clock.h>

#include <optional>
#include <string>

namespace camphorgrade::soak {

/** How to start one of the programs. */
struct program_spec {
    std::string program;
    std::string node_name;
    std::string settings; /**< Text of the platform's settings file, without `bootstrap`. */
    std::string folder;   /**< Of its settings file and its log. */
};

/**
 * One of the programs under test, as a process of its own: stopped, paused, killed and started
 * again by signals. Checks that it ends only when told to. Not thread safe.
 */
class soak_process {
public:
    soak_process(program_spec spec, ledger& record);

    void start(time_point now);
    void pause(time_point now, duration length);
    void kill(time_point now, duration until_start);
    void terminate(time_point now);
    void hang_up(time_point now);

    /** Resumes, restarts and checks what is due. Call often. */
    void poll(time_point now);

    /** Resumes it if it is paused, and starts it if it isn't running. */
    void bring_back(time_point now);

    /** Whether a signal asked it to stop, or it is not running. */
    bool is_away() const noexcept { return !child_ || is_stopping_; }
    bool is_running() const noexcept { return child_.has_value(); }

    /** How long it has run without a signal; 0 while it is paused, stopping or away. */
    duration calm_for(time_point now) const;

    std::string log_path() const { return spec_.folder + '/' + spec_.node_name + ".log"; }

private:
    void on_exit(int code, time_point now);

    program_spec spec_;
    ledger& record_;
    std::optional<testing::child_process> child_;
    bool was_started_ = false;
    bool is_stopping_ = false;
    std::optional<time_point> paused_until_;
    std::optional<time_point> start_at_;
    time_point stop_began_{};
    time_point disturbed_{};
};

} // namespace camphorgrade::soak
