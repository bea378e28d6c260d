#pragma once

#include "ledger.h"
#include "response_plan.h"
#include "soak_server.h"

#include <kernel/random.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace camphorgrade::soak {

/** Faults that a backend server simulates. */
struct backend_faults {
    int slowdown_factor = 1;             /**< Multiplies the duration of all work. */
    double dropped_response_share = 0;   /**< Share of runs aborted before their body. */
    double truncated_response_share = 0; /**< Share of responses that end early. */
    /** Request limit that its responses name, in requests per second; empty: none. */
    std::optional<double> request_limit;
    response_faults responses;
};

/**
 * A simulated backend server that implements the platform's published API: an engine with a limited
 * number of adapters, or a plain service. Reports to the ledger what it receives. Not thread safe.
 */
class soak_backend final : public soak_server_handler {
public:
    soak_backend(boost::asio::io_context& loop, const clock& clock, random_source& random,
                 ledger& request_ledger, std::string name, std::string service, bool is_engine);

    void listen(const boost::asio::ip::tcp::endpoint& endpoint) { server_.listen(endpoint); }

    /**
     * Aborts all runs and discards all state, as after a crash. Takes a new id if
     * `assigns_new_id` is true.
     */
    void restart(bool assigns_new_id);

    const std::string& id() const noexcept { return id_; }
    const std::string& service() const noexcept { return service_; }

    /** JSON text of its registration under `address`, where gateways and agents reach it. */
    std::string registration(const std::string& address, const std::string& state) const;

    void on_request(std::shared_ptr<edge::caller_exchange> exchange, bool has_body) override;
    void on_late_body(const edge::caller_request& request) override;
    void on_invalid_request(const std::string& reason) override;
    response_faults faults_for(const edge::caller_request& request) const override;

    /** Called when a request crashes the server, which must be restarted then. */
    void on_crash(std::function<void()> callback) { crashed_ = std::move(callback); }

    backend_faults faults;

    /** Newest version of every adapter; loaded if an order names no version. */
    std::uint64_t newest_version = 1;

private:
    struct run {
        // Released when the run ends or its caller disconnects.
        std::shared_ptr<edge::caller_exchange> exchange;
        std::string request;
        std::string adapter;
        std::string seal;
        int next_event = 1;
        bool crashes_server = false;
        bool drops_response = false;
        int last_event = stream_event_count;
        int repeated_event = 0; // 0: none
        int omitted_event = 0;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    struct adapter_slot {
        std::uint64_t version = 0;
        bool is_loading = false;
        bool is_draining = false;
    };

    void respond_state(edge::caller_exchange& exchange) const;
    void handle_order(edge::caller_exchange& exchange);
    int execute_order(const std::string& operation, const std::string& adapter,
                      std::uint64_t version);
    int load_adapter(const std::string& adapter, std::uint64_t version);
    int unload_adapter(const std::string& adapter);
    void finish_load(const std::string& adapter, std::uint64_t version, std::uint64_t incarnation);
    bool is_in_use(const std::string& adapter) const;
    bool try_refuse(edge::caller_exchange& exchange, const std::string& adapter);
    void start_run(std::shared_ptr<edge::caller_exchange> exchange, const std::string& adapter,
                   bool has_body);
    void draw_faults(run& started);
    void record_run(const edge::caller_request& request, bool has_body);
    void write_event(run& current);
    void advance_run(std::uint64_t number);
    void end_run(std::uint64_t number);
    void schedule_step(std::uint64_t number, duration delay);
    http_headers response_headers(const run& current, const char* type) const;
    void refuse_not_executed(edge::caller_exchange& exchange, int status) const;
    /** Adds the header that names the request limit, if there is one. */
    http_headers with_limit(http_headers headers) const;

    boost::asio::io_context& loop_;
    const clock& clock_;
    random_source& random_;
    ledger& ledger_;
    std::string name_;
    std::string service_;
    bool is_engine_;
    soak_server server_;
    std::string id_;
    std::uint64_t incarnation_ = 0;
    std::uint64_t started_unix_ms_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t highest_fencing_token_ = 0;
    std::set<std::string> order_holders_;
    std::map<std::string, adapter_slot> adapters_;
    std::map<std::uint64_t, run> runs_;
    std::uint64_t next_run_ = 1;
    std::function<void()> crashed_;
};

} // namespace camphorgrade::soak
