#pragma once

#include "http.h"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <condition_variable>
#include <fstream>
#include <string>
#include <utility>

namespace review {

inline constexpr std::uint16_t front_port = 8'221;
inline constexpr std::uint16_t ready_port = 8'224;
inline constexpr std::uint16_t store_port = 8'225;
inline constexpr std::uint16_t worker_port = 8'228;

/** Exit codes of a case. */
inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

/** What was sent, answered and run, a line for each event with the steady clock's time in seconds.
    Thread safe. */
class record {
public:
    /** Writes to a new file, or to the end of one that another process began. */
    explicit record(const std::string& path, bool is_continued = false);
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

/** The platform's store: what it holds, and the changes since its start. */
class store {
public:
    store(const std::string& ip, record& log);

    void put(const std::string& key, const nlohmann::json& value);

private:
    std::string range(const std::string& prefix);
    std::string watch(const std::string& prefix, std::uint64_t after,
                      std::chrono::milliseconds wait);

    record& log_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t revision_ = 10;
    std::map<std::string, nlohmann::json> items_;
    std::vector<nlohmann::json> events_;
    http_server server_;
};

/** A program that runs as a process of its own until this object is destroyed. */
class program {
public:
    /** Output goes to `log_path`. */
    program(std::vector<std::string> command, const std::string& log_path);
    ~program();
    program(const program&) = delete;
    program& operator=(const program&) = delete;

    void send(int signal) const;
    /** Ends the process at once. */
    void kill();
    /** Resident memory in bytes; 0 if the process has ended. */
    std::size_t resident_bytes() const;
    pid_t pid() const noexcept { return pid_; }

private:
    pid_t pid_ = 0;
};

/** The part of a deployment's settings that its machines share, and where its programs are. */
class site {
public:
    /** Finds a part of the loopback network that is free, and makes a temporary folder. */
    site();
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /** 127.NETWORK.KIND.NUMBER */
    std::string ip(int kind, int number) const;
    std::string front_ip(int number) const { return ip(1, number); }
    std::string worker_ip(int number) const { return ip(2, number); }
    std::string store_ip() const { return ip(9, 1); }

    /** `is_first` is true when the whole system starts for the first time. */
    std::unique_ptr<program> start_front(int number, int memory_mb = 260,
                                         bool is_first = true) const;
    /** Starts the agent on the machine of a worker. */
    std::unique_ptr<program> start_agent(int number, bool is_first = true) const;
    /** Waits until a gateway says that it is ready; false after ten seconds. */
    bool wait_until_ready(int number) const;

private:
    std::string common_settings(bool is_first) const;
    std::unique_ptr<program> start(const std::string& name, std::vector<std::string> command,
                                   const std::string& settings) const;

    int network_ = 0;
    std::string folder_;
};

/** What a worker writes to the store about itself. */
nlohmann::json registration(const std::string& service, const std::string& address, int slots,
                            std::uint64_t born, const std::string& state = "ready");

/** A route of the host `site.example`. */
nlohmann::json route(const std::string& prefix, const std::string& kind, const std::string& service,
                     int timeout_ms);

/** A configuration with one tenant, whose key is `test_key`. */
nlohmann::json configuration(const nlohmann::json& routes, const nlohmann::json& services);

inline constexpr const char* test_key = "k7c2m9x4w1";

/** The head of a client's request, with its blank line. */
std::string request_head(const std::string& method, const std::string& target,
                         const std::string& id, int deadline_ms,
                         const std::vector<std::pair<std::string, std::string>>& more);

/** Whether the disruption of the case is wanted: TROUBLE isn't 0. */
bool has_trouble();

void sleep_ms(int ms);

/** Runs a case and turns exceptions into exit_not_run. */
int run_case(int (*run)(record&), int argc, char** argv);

} // namespace review
