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

/** Sizes of a soak. */
struct soak_sizes {
    int entries = 3;
    int engines = 3;
    int services = 2;
};

/** An entry process, the link before it and its link to the store. */
struct entry_site {
    std::unique_ptr<fault_link> callers;
    std::unique_ptr<fault_link> store;
    std::unique_ptr<soak_process> process;
};

/** A backend server, the link before it; beside an engine its agent and their link. */
struct backend_site {
    std::unique_ptr<soak_backend> backend;
    std::unique_ptr<fault_link> front;
    std::unique_ptr<fault_link> beside;
    std::unique_ptr<soak_process> agent;
    std::string address; /**< Where it is registered. */
};

/**
 * Everything that the programs under test meet: store, backend servers, links with faults, and the
 * processes themselves, each on loopback addresses of its own. Not thread safe.
 */
class soak_world {
public:
    soak_world(boost::asio::io_context& loop, const clock& clock, std::uint64_t seed,
               const soak_sizes& sizes, ledger& record);
    ~soak_world();
    soak_world(const soak_world&) = delete;
    soak_world& operator=(const soak_world&) = delete;

    void start();

    /** Writes the operators' text in a new version. */
    void write_catalogue();

    /** Registers every backend server that is not leaving. */
    void write_registrations();
    void write_registration(const backend_site& of, const std::string& state);
    void remove_registration(const backend_site& of);
    void bump_adapter_version(int adapter);

    /** Resumes, restarts and checks processes that are due. */
    void poll();

    /** Ends all faults, brings every process back and puts every key in force. */
    void heal();

    bool all_run() const;
    std::vector<soak_process*> processes();
    std::vector<fault_link*> links();

    boost::asio::ip::tcp::endpoint readiness_of(std::size_t entry) const;
    boost::asio::ip::tcp::endpoint metrics_of(std::size_t entry) const;

    platform::testing::store_standin& store() noexcept { return store_; }
    std::vector<entry_site>& entries() noexcept { return entries_; }
    std::vector<backend_site>& backends() noexcept { return backends_; }
    caller_world& callers() noexcept { return callers_; }
    const std::string& folder() const noexcept { return folder_; }

private:
    void add_entry(int number);
    void add_backend(int number, bool is_engine);
    std::string ip(int kind, int number) const;
    std::string common_settings() const;

    boost::asio::io_context& loop_;
    const clock& clock_;
    random_source random_;
    ledger& record_;
    std::string folder_;
    int net_ = 0;
    platform::testing::store_standin store_;
    std::vector<entry_site> entries_;
    std::vector<backend_site> backends_;
    caller_world callers_;
    std::uint64_t catalogue_version_ = 0;
    std::map<int, std::uint64_t> adapter_versions_;
};

/** A page of a process; status 0 when it can't be had. */
struct fetched_page {
    int status = 0;
    std::string body;
};

/** Reads a page on a connection of its own, and waits for it. */
fetched_page read_page(const boost::asio::ip::tcp::endpoint& at, const std::string& path);

/** Rate and burst of each account, in tokens. */
inline constexpr double account_rate = 150'000;
inline constexpr double account_burst = 150'000;
inline constexpr std::uint32_t max_attempts = 2;

} // namespace camphorgrade::soak
