#pragma once

#include <http/http_server.h>
#include <standins/task_loop.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace camphorgrade::standins {

/** A request to a stand-in; destroying `writer` before the response ends closes the connection. */
struct standin_call {
    exchange_id id;
    http_request request;
    std::unique_ptr<response_writer> writer;
};

/** Behaviour of a stand-in. The host calls both methods on its task_loop, one at a time. */
class standin_logic {
public:
    virtual ~standin_logic() = default;

    /** Handles a request; may keep `call` to respond later. */
    virtual void handle(standin_call call) = 0;

    /** Called when the caller of an open request disconnects. */
    virtual void on_caller_lost(exchange_id id) = 0;
};

/**
 * HTTP server of one stand-in. It handles the requests one after another on a task_loop, so the
 * logic needs no locks. Thread safe, except for start() and destruction.
 */
class standin_host final : private request_handler {
public:
    explicit standin_host(standin_logic& logic);

    /** Calls stop(). */
    ~standin_host() override;

    standin_host(const standin_host&) = delete;
    standin_host& operator=(const standin_host&) = delete;

    /**
     * Starts to listen on an IP address and port; port 0 selects a free port. Returns false if the
     * address cannot be bound.
     */
    bool start(const std::string& address, std::uint16_t port);

    /** Closes all connections and ends all threads. Idempotent. */
    void stop();

    /** The port that the server listens on. Precondition: start() returned true. */
    std::uint16_t port() const;

    task_loop& loop() { return loop_; }

private:
    void on_request(exchange_id id, http_request request,
                    std::unique_ptr<response_writer> writer) override;
    void on_caller_lost(exchange_id id, caller_loss reason) override;

    standin_logic& logic_;
    task_loop loop_;
    std::unique_ptr<http_server> server_;
};

/** Makes a response with a JSON body. */
http_response json_response(int status, const nlohmann::json& body);

/** Parses the body as a JSON object; returns an empty object if it is not one. */
nlohmann::json json_body(const http_request& request);

/** Reads a field of a JSON object; returns `fallback` if it is absent or not an unsigned integer.
 */
std::size_t unsigned_field(const nlohmann::json& object, const char* name, std::size_t fallback);

} // namespace camphorgrade::standins
