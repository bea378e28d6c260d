#pragma once

#include "net.h"
#include "record.h"

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace review {

/** Exit codes of a case. */
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

/** Whether the case runs with its disruption: unless TROUBLE is 0. */
bool has_trouble();

/**
 * Starts the commands of the deploy file with settings of a small deployment, and ends them. Each
 * process is killed when the case ends, however it ends. Not thread safe.
 */
class programs {
public:
    /** `network` is the first half of all addresses. */
    programs(std::string network, record& log);
    programs(const programs&) = delete;
    programs& operator=(const programs&) = delete;

    /** Ends all processes, and then this one, whose threads may still wait for requests. */
    [[noreturn]] void finish(int exit_code);

    const std::string& network() const { return network_; }
    endpoint store_address() const { return {network_ + ".9.1", 8'225}; }
    endpoint second_store_address() const { return {network_ + ".9.2", 8'225}; }
    /** Where callers reach the entry of this number, from 1. */
    endpoint callers(int entry) const { return {entry_ip(entry), 8'221}; }
    endpoint readiness(int entry) const { return {entry_ip(entry), 8'224}; }
    /** Address of the model worker of this number, from 1, with the agent beside it. */
    endpoint engine(int number) const { return {network_ + ".2." + std::to_string(number), 8'228}; }
    endpoint plain_server(int number) const {
        return {network_ + ".3." + std::to_string(number), 8'228};
    }

    /** `cpu_share` is the part of a core that its machine has. */
    void start_entry(int number, const std::string& zone, bool is_first_start,
                     const std::string& cpu_share = "0.19");
    void start_agent(int number, const std::string& zone);

    /** Kills the process of an entry, as the platform does; its callers' connections break. */
    void kill_entry(int number);
    /** Names another store in the settings file of an entry, and tells its process by SIGHUP. */
    void move_store(int entry, const endpoint& store);

    /** Waits until all of the first `count` entries say that they are ready. */
    bool wait_until_ready(int count, std::int64_t timeout_ms) const;

private:
    struct process {
        std::string name;
        pid_t pid = 0;
    };

    std::string entry_ip(int number) const { return network_ + ".1." + std::to_string(number); }
    std::string common_settings(const std::string& name, const std::string& ip,
                                const std::string& zone, bool is_first_start,
                                const std::string& cpu_share) const;
    void start(const std::string& name, const std::vector<std::string>& command,
               const std::string& settings);
    pid_t pid_of(const std::string& name) const;

    std::string network_;
    record& record_;
    std::string folder_;
    std::vector<process> running_;
};

} // namespace review
