#pragma once

#include "loopback.h"

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace camphorgrade::review {

/** A program that was started here; killed when it goes out of scope. Not thread safe. */
class program {
public:
    program(const std::vector<std::string>& words, const std::string& log_file);
    program(const program&) = delete;
    program& operator=(const program&) = delete;
    program(program&& other) noexcept;
    program& operator=(program&&) = delete;
    ~program();

    void signal(int number) const;
    /** Whether it still runs; what it ended with is in `end`, such as "exit 1" or "signal 6". */
    bool is_running(std::string& end);

private:
    pid_t pid_ = -1;
};

/** What a settings file differs in from one machine to the next. */
struct machine {
    std::string name;
    std::string ip;
    std::string zone;
    std::string app;   /**< Address of the worker on a `side` machine; empty on a `front` one. */
    std::string store; /**< Address of the platform's store. */
    std::string seeds;
};

constexpr std::uint16_t front_port = 8'221;
constexpr std::uint16_t ready_port = 8'224;
constexpr std::uint16_t control_port = 8'229;

/** The text of the settings file of the machine, as in a small deployment. */
std::string settings_text(const machine& of);

/** Starts the command of the role in the deploy file with a settings file in `folder`. */
program start_role(const std::string& folder, const std::string& role, const machine& on);

/** Creates a temporary folder, which its destructor removes with all that it holds. */
class temporary_folder {
public:
    temporary_folder();
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    ~temporary_folder();

    const std::string& path() const { return path_; }

private:
    std::string path_;
};

/** Waits until GET /camphorgrade/readiness on the machine gets 200; false after `timeout_ms`. */
bool wait_until_ready(const machine& front, std::int64_t timeout_ms);

/** Whether the case runs with its disruption: the environment variable TROUBLE isn't "0". */
bool has_trouble();

} // namespace camphorgrade::review
