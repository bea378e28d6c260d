#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::testing {

/** A program started by a test. Killed when it goes out of scope. Not thread safe. */
class child_process {
public:
    /** Starts build/bin/<program>; output goes to `log_file`. */
    child_process(const std::string& program, const std::vector<std::string>& arguments,
                  const std::string& log_file);
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    ~child_process();

    /** The id of the process; -1 after its end was waited for. */
    pid_t pid() const noexcept { return pid_; }

    void signal(int number) const;

    /** Waits for its end; the exit code, or minus the signal that ended it. */
    int wait();

    /** As wait(), if it has ended already; nothing while it runs. */
    std::optional<int> try_wait();

    /** Sends SIGTERM and waits. */
    int terminate();

    /** Sends SIGKILL and waits. */
    void kill();

private:
    pid_t pid_ = -1;
};

/** Runs a program to its end; returns exit code and what it printed to standard output. */
struct finished_program {
    int exit_code = -1;
    std::string output;
};
finished_program run_program(const std::string& program, const std::vector<std::string>& arguments);

/** A loopback port that was free a moment ago. */
int free_port();

/** Reads a whole file; empty when it does not exist. */
std::string read_file(const std::string& path);

} // namespace camphorgrade::testing
