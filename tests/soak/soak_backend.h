#pragma once

#include "ledger.h"

#include <edge/caller_server.h>
#include <kernel/random.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace camphorgrade::soak {

/** What a run answers: a plain service's body, and the events of an engine's stream. */
std::string service_answer(const std::string& request);
std::string stream_event(const std::string& request, int number);
inline constexpr int stream_events = 12;

/** How a backend server misbehaves. */
struct backend_faults {
    int slowness = 1;          /**< Work takes so many times as long. */
    double lost_answers = 0;   /**< Share of runs whose answer is cut off. */
    double broken_answers = 0; /**< Share of answers that end before they are whole. */
};

/**
 * A backend server of the soak, after the platform's published calls: an engine with places for
 * adapters, or a plain service. Checks what reaches it. Not thread safe.
 */
class soak_backend final : public edge::caller_handler {
public:
    soak_backend(boost::asio::io_context& loop, const clock& clock, random_source& random,
                 ledger& record, std::string name, std::string service, bool is_engine);

    void listen(const boost::asio::ip::tcp::endpoint& at) { server_.listen(at); }

    /** Drops all work and what it holds, and starts a new life, under a new id if `renames`. */
    void restart(bool renames);

    const std::string& id() const noexcept { return id_; }
    const std::string& service() const noexcept { return service_; }

    /** Its registration; `address` is where others reach it. */
    std::string registration(const std::string& address, const std::string& state) const;

    void on_request(std::shared_ptr<edge::caller_exchange> exchange) override;
    void on_bad_request(int status) override;

    backend_faults faults;
    std::uint64_t newest_version = 1; /**< Of every adapter. */

private:
    struct run {
        std::shared_ptr<edge::caller_exchange> exchange; // ends with the run or its caller
        std::string request;
        std::string adapter;
        std::string seal;
        int next_event = 1;
        bool is_lost = false;
        int last_event = stream_events;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };
    struct place {
        std::uint64_t version = 0;
        bool is_loading = false;
        bool is_leaving = false;
    };

    void report(edge::caller_exchange& exchange) const;
    void order(edge::caller_exchange& exchange);
    int carry_out(const std::string& operation, const std::string& adapter, std::uint64_t version);
    int load(const std::string& adapter, std::uint64_t version);
    int unload(const std::string& adapter);
    void finish_load(const std::string& adapter, std::uint64_t version, std::uint64_t life);
    bool is_used(const std::string& adapter) const;
    bool refuse(edge::caller_exchange& exchange, const std::string& adapter);
    void begin(std::shared_ptr<edge::caller_exchange> exchange, const std::string& adapter);
    void record_run(const edge::caller_request& request);
    void step(std::uint64_t number);
    void end(std::uint64_t number);
    void schedule(std::uint64_t number, duration after);
    http_headers head_of(const run& of, const char* type) const;

    boost::asio::io_context& loop_;
    const clock& clock_;
    random_source& random_;
    ledger& record_;
    std::string name_;
    std::string service_;
    bool is_engine_;
    edge::caller_server server_;
    std::string id_;
    std::uint64_t life_ = 0;
    std::uint64_t born_ = 0;
    std::uint64_t sequence_ = 0;
    std::uint64_t fence_ = 0;
    std::set<std::string> holders_;
    std::map<std::string, place> places_;
    std::map<std::uint64_t, run> runs_;
    std::uint64_t next_run_ = 1;
};

} // namespace camphorgrade::soak
