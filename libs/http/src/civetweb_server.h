#pragma once

#include "civetweb_connection.h"
#include "exchange.h"

#include <http/http_server_settings.h>
#include <http/request_handler.h>
#include <kernel/clock.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

struct mg_connection;
struct mg_context;

namespace camphorgrade {

/** Plain HTTP by CivetWeb: the glue between its callbacks and the exchanges. Thread safe. */
class civetweb_server {
public:
    civetweb_server(const http_server_settings& settings, request_handler& handler,
                    const fault_formatter& formatter)
        : settings_(settings), handler_(handler), formatter_(formatter) {}

    ~civetweb_server() { stop(); }

    civetweb_server(const civetweb_server&) = delete;
    civetweb_server& operator=(const civetweb_server&) = delete;

    /** Binds and serves; false when that is not possible. */
    bool listen();

    /** Cuts what is open, and joins all threads. Idempotent. */
    void stop();

    std::uint16_t bound_port() const noexcept { return bound_port_; }

    std::size_t open_exchanges() const {
        const std::lock_guard lock(mutex_);
        return exchanges_.size();
    }

private:
    /** What we know of a connection beyond CivetWeb; lives as long as the connection. */
    struct connection_state {
        int descriptor = no_descriptor;
        bool is_excess = false;
        time_point idle_since{};
    };

    /** Sets the library up while any server lives. */
    struct library_guard {
        library_guard();
        ~library_guard();
        library_guard(const library_guard&) = delete;
        library_guard& operator=(const library_guard&) = delete;
    };

    static constexpr int no_descriptor = -1;

    static civetweb_server& of(const mg_connection* connection);
    static connection_state* state_of(const mg_connection* connection);

    static int begin_request(mg_connection* connection);
    static int http_error(mg_connection* connection, int status, const char* message);
    static int init_connection(const mg_connection* connection, void** state);
    static void connection_closing(const mg_connection* connection);
    static int drop_log(const mg_connection* /*connection*/, const char* /*text*/) { return 1; }

    void add_connection(connection_state& state);
    void find_descriptor(const mg_connection* connection, connection_state& state);
    void remove_connection(const connection_state& state);
    bool keeps_alive() const;

    void serve(mg_connection* connection);
    void refuse(mg_connection* connection, request_fault fault);
    void drain(int descriptor) const;
    void run_exchange(mg_connection* connection, http_request request, answer_framing framing);
    std::optional<caller_loss> deliver(mg_connection* connection, exchange& answer,
                                       const answer_framing& framing);
    std::shared_ptr<exchange> open_exchange(exchange_id id, int descriptor);
    void close_exchange(exchange_id id);

    const library_guard library_;
    const http_server_settings settings_;
    request_handler& handler_;
    const fault_formatter& formatter_;
    const monotonic_clock clock_;
    mg_context* context_ = nullptr;
    std::uint16_t bound_port_ = 0;

    mutable std::mutex mutex_;
    std::map<exchange_id, std::shared_ptr<exchange>> exchanges_;
    std::size_t connection_count_ = 0;
    std::set<int> descriptors_;
    bool stopping_ = false;
    std::uint64_t last_exchange_ = 0;
};

} // namespace camphorgrade
