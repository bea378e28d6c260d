#pragma once

#include <http/request_handler.h>
#include <kernel/ids.h>
#include <node/inbox.h>
#include <node/port.h>

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace camphorgrade {

/**
 * Joins one HTTP server to the event loop: requests become caller_arrived events of one service,
 * answer_caller effects become the answer.
 *
 * An answer whose head carries Content-Length is sent in one piece once it ended; any other is
 * streamed as it comes. carry_out() is the loop's; the request_handler functions are thread safe.
 */
class caller_port final : public port, public request_handler {
public:
    /**
     * `service` gets the events. `number` tells the ports of one process apart, 0 to 15: it is part
     * of the request ids, which count up within a port.
     */
    caller_port(inbox& events, std::string service, std::uint64_t number);

    bool carry_out(const effect& wanted) override;

    void on_request(exchange_id id, http_request request,
                    std::unique_ptr<response_writer> writer) override;
    void on_caller_lost(exchange_id id, caller_loss why) override;

private:
    struct exchange {
        std::unique_ptr<response_writer> writer;
        http_head held_head; // of an answer that is sent in one piece
        std::string held_body;
        bool holding = false;
    };

    void answer(exchange& open, const call_progress& part);
    static void finish(exchange& open);

    request_id number_of(exchange_id id) const;

    inbox& inbox_;
    std::string service_;
    std::uint64_t number_;
    std::mutex mutex_;
    std::map<request_id, exchange> open_;
};

} // namespace camphorgrade
