#pragma once

#include <http/http_server.h>
#include <standins/task_loop.h>

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace camphorgrade::standins {

/** One request to a stand-in; dropping the writer cuts the connection. */
struct standin_call {
    exchange_id id;
    http_request request;
    std::unique_ptr<response_writer> writer;
};

/** What a stand-in does; both methods are called on the host's loop, one at a time. */
class standin_logic {
public:
    virtual ~standin_logic() = default;

    virtual void handle(standin_call call) = 0;

    /** The caller of an open request has gone. */
    virtual void on_caller_lost(exchange_id id) = 0;
};

/**
 * Serves one stand-in: an HTTP server whose requests are handled one after another on a task_loop,
 * so that the logic needs no locks. Thread safe but for start and destruction.
 */
class standin_host final : private request_handler {
public:
    explicit standin_host(standin_logic& logic);

    /** Stops like stop(). */
    ~standin_host() override;

    standin_host(const standin_host&) = delete;
    standin_host& operator=(const standin_host&) = delete;

    /** Listens on an IP number and port (0 picks one); false when that is not possible. */
    bool start(const std::string& address, std::uint16_t port);

    /** Cuts what is open and ends all threads. Idempotent. */
    void stop();

    std::uint16_t port() const;

    task_loop& loop() { return loop_; }

private:
    void on_request(exchange_id id, http_request request,
                    std::unique_ptr<response_writer> writer) override;
    void on_caller_lost(exchange_id id, caller_loss why) override;

    standin_logic& logic_;
    task_loop loop_;
    std::unique_ptr<http_server> server_;
};

/** A JSON answer. */
http_response json_response(int status, const nlohmann::json& body);

/** The body as a JSON object; an empty object when it is anything else. */
nlohmann::json json_body(const http_request& request);

/** A number of a JSON object, or `otherwise` when it is absent or not a whole number from 0 up. */
std::size_t number_in(const nlohmann::json& object, const char* name, std::size_t otherwise);

} // namespace camphorgrade::standins
