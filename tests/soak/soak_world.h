#pragma once

#include "fault_link.h"
#include "ledger.h"
#include "soak_backend.h"
#include "soak_caller.h"
#include "soak_process.h"

#include "../../platform/tests/store_standin.h"

#include <boost/asio/io_context.hpp>
#include <kernel/random.h>

#include <memory>
#include <string>
#include <vector>

namespace camphorgrade::soak {

/** Number of processes and backend servers in a soak test. */
struct soak_sizes {
    int entries = 3;
    int engines = 3;
    int services = 2;
    std::string program_folder = {}; /**< Of the programs under test; empty: those of this build. */
};

/** An entry process with its links. */
struct entry_site {
    std::unique_ptr<fault_link> caller_link; /**< From the callers to the process. */
    std::unique_ptr<fault_link> store_link;  /**< From the process to the store. */
    std::unique_ptr<soak_process> process;
};

/** A backend server with its links and, for an engine, its agent. */
struct backend_site {
    std::unique_ptr<soak_backend> backend;
    std::unique_ptr<fault_link> request_link; /**< From the entry processes to the server. */
    std::unique_ptr<fault_link> agent_link;   /**< From the agent to the engine, else null. */
    std::unique_ptr<soak_process> agent;      /**< Null for a plain service. */
    std::string address;                      /**< Registered address of the server. */
};

/**
 * Environment of a soak test: the processes under test and the simulated store, backend servers
 * and network links around them, each on its own loopback addresses. Not thread safe.
 */
class soak_world {
public:
    soak_world(boost::asio::io_context& loop, const clock& clock, std::uint64_t seed,
               const soak_sizes& sizes, ledger& request_ledger);
    ~soak_world();
    soak_world(const soak_world&) = delete;
    soak_world& operator=(const soak_world&) = delete;

    /** Writes the configuration and the registrations, and starts every process. */
    void start();

    /** Writes a new version of the operators' configuration to the store. */
    void write_configuration();

    /** Registers every backend server as ready. */
    void write_registrations();

    /** Registers a backend server with `state`, "ready" or "draining". */
    void write_registration(const backend_site& site, const std::string& state);

    void remove_registration(const backend_site& site);

    /** Writes the next version of an adapter to the store. */
    void increment_adapter_version(int adapter);

    /** Calls poll() of every process. */
    void poll();

    /** Ends all faults, restores every process and makes every API key valid. */
    void clear_faults();

    /** Whether every process runs and none was asked to stop. */
    bool all_running() const;
    std::vector<soak_process*> processes();
    std::vector<fault_link*> links();

    boost::asio::ip::tcp::endpoint readiness_endpoint(std::size_t entry) const;
    boost::asio::ip::tcp::endpoint metrics_endpoint(std::size_t entry) const;

    platform::testing::store_standin& store() noexcept { return store_; }
    std::vector<entry_site>& entries() noexcept { return entries_; }
    std::vector<backend_site>& backends() noexcept { return backends_; }
    caller_context& callers() noexcept { return callers_; }
    const std::string& folder() const noexcept { return folder_; }

private:
    void add_entry(int number);
    void add_backend(int number, bool is_engine);
    std::string ip(int kind, int number) const;
    std::string common_settings() const;
    std::string program_path(const std::string& name) const;

    boost::asio::io_context& loop_;
    const clock& clock_;
    random_source random_;
    ledger& ledger_;
    std::string folder_;
    std::string program_folder_;
    int network_ = 0;
    platform::testing::store_standin store_;
    std::vector<entry_site> entries_;
    std::vector<backend_site> backends_;
    caller_context callers_;
    std::uint64_t configuration_version_ = 0;
    std::map<int, std::uint64_t> adapter_versions_;
};

/** Response to an HTTP GET; status 0 if there was none. */
struct http_page {
    int status = 0;
    std::string body;
};

/** Fetches a page on a new connection; blocks until the response ends. */
http_page fetch_page(const boost::asio::ip::tcp::endpoint& server, const std::string& path);

/** Quota of each account: rate in tokens per second, and burst in tokens. */
inline constexpr double account_rate = 150'000;
inline constexpr double account_burst = 150'000;

/** Greatest number of runs of a request. */
inline constexpr std::uint32_t max_attempts = 2;

} // namespace camphorgrade::soak
