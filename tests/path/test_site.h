#pragma once

#include "child_process.h"
#include "http_caller.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::testing {

/** Sizes of a test_site. */
struct site_options {
    int gateways = 2;
    int engines = 2;
    int bookings = 1;
    int slots = 2;
    std::vector<std::string> engine_arguments; /**< Further arguments of each engine. */
};

/**
 * A small deployment of real processes on loopback: stand-ins, gateways and agents, with the
 * operators' text in force and a key for the client account "designers". Ends all of them when it
 * goes out of scope. Not thread safe.
 *
 * @code
 * test_site site({});
 * const auto answer = site.post(0, "/v1/completions", R"({"model":"hall","prompt":"x"})");
 * @endcode
 */
class test_site {
public:
    explicit test_site(const site_options& options);
    test_site(const test_site&) = delete;
    test_site& operator=(const test_site&) = delete;
    ~test_site();

    /** Sends a request with the key through a gateway. */
    received_answer post(int gateway, const std::string& path, const std::string& body,
                         http_headers headers = {}) const;

    child_process& process(const std::string& name) { return processes_.at(name); }
    int port(const std::string& name) const { return ports_.at(name); }
    const std::string& key() const { return key_; }
    const std::string& directory() const { return directory_; }

    /** Starts a process again after it has ended; same name, addresses and settings. */
    void restart(const std::string& name);

    /** Waits until a gateway or agent says that it is ready. */
    bool wait_ready(const std::string& name) const;

    /** Waits until a gateway knows so many agents that are ready. */
    bool wait_serving() const;

    /** Runs camphorctl against the site's key-value stand-in. */
    finished_program control(std::vector<std::string> arguments) const;

    /** Everything that the processes logged. */
    std::string logs() const;

    /** All spans that were exported. */
    std::string spans() const;

private:
    struct launch {
        std::string program;
        std::vector<std::string> arguments;
    };

    void start_standins(const site_options& options);
    void start_standin(const std::string& name, std::vector<std::string> arguments);
    void apply_text(const site_options& options);
    void start_node(const std::string& name, const std::string& program,
                    const std::string& settings);
    std::string node_settings(const std::string& name) const;
    std::string operators_text(const site_options& options) const;
    std::string address(const std::string& name) const;
    std::string write_file(const std::string& name, const std::string& text) const;

    std::string directory_;
    std::string key_;
    std::map<std::string, int> ports_;
    std::map<std::string, launch> launches_;
    std::map<std::string, child_process> processes_;
    std::vector<std::string> agents_;
    std::vector<std::string> gateways_;
};

} // namespace camphorgrade::testing
