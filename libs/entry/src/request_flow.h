#pragma once

#include "sse_splitter.h"

#include <edge/caller_exchange.h>
#include <edge/upstream_pool.h>
#include <serving/dispatcher.h>
#include <serving/request_codec.h>

#include <memory>
#include <optional>
#include <string>

namespace camphorgrade::entry {

/** What a flow needs of the process that it runs in. Must outlive the flow. */
class request_flow_host {
public:
    request_flow_host() = default;
    request_flow_host(const request_flow_host&) = delete;
    request_flow_host& operator=(const request_flow_host&) = delete;
    virtual ~request_flow_host() = default;

    virtual time_point now() const = 0;
    virtual edge::upstream_pool& pool() = 0;
    virtual const serving::request_codec& codec() const = 0;
    virtual serving::dispatcher& dispatcher() = 0;

    /** The head of a backend server's answer came; the dispatcher takes what it says of the
        server. */
    virtual void on_response_head(serving::request_handle request,
                                  const serving::response_metadata& answer) = 0;

    /** An attempt ended; the dispatcher decides, then request_flow_host has its effects carried
     * out. */
    virtual void on_attempt_ended(serving::request_handle request,
                                  serving::attempt_outcome outcome) = 0;

    /** The request is answered, aborted or left; the flow may be destroyed soon, not at once. */
    virtual void on_request_finished(serving::request_handle request, int status) = 0;
};

/**
 * Carries one request to backend servers and the answer back to its caller.
 *
 * An answer that isn't a stream is passed on when it is whole. Of a stream, events are passed on
 * as they arrive; one that may be resumed is passed on by whole events, so that another backend
 * server can go on after the last of them. What a server sends without end is bounded: an answer
 * that is kept until it is whole, an event, and the body of a refusal.
 */
class request_flow final : public edge::upstream_sink {
public:
    request_flow(request_flow_host& host, serving::request_handle request,
                 std::shared_ptr<edge::caller_exchange> exchange, std::string correlation_id);

    /** Sends the request. */
    void start_attempt(const serving::send_attempt& how);

    /** Ends the request with an answer of the system's own, or with what a server answered. */
    void finish(const serving::end_request& how);

    void on_head(const http_head& head, const edge::upstream_framing& framing) override;
    void on_body(std::string_view bytes) override;
    void on_end() override;
    void on_failure(edge::upstream_failure why) override;

    const std::string& correlation_id() const noexcept { return correlation_id_; }
    const edge::caller_exchange& exchange() const noexcept { return *exchange_; }
    bool has_response_started() const noexcept { return has_begun_; }

    /** From the request to the first bytes of a body; -1 while there are none. */
    duration time_to_first_byte() const noexcept { return first_answer_; }

    /** The caller left: gives up the work behind it. */
    void cancel() { call_.reset(); }

private:
    enum class handling : std::uint8_t { discard, buffer, stream };

    /** A backend server's whole answer that tells of an error of its own. */
    struct server_error {
        http_head head;
        std::string body;
    };

    void note_first_answer();
    void pass_on(std::string_view bytes);
    void begin_stream();
    void attempt_failed(serving::attempt_outcome outcome);
    void break_off();
    /** Precondition: the present attempt's head says that the request didn't run. */
    serving::attempt_outcome refusal() const;
    bool is_stream_answer() const;

    request_flow_host& host_;
    serving::request_handle request_;
    std::shared_ptr<edge::caller_exchange> exchange_; // shared with the caller's connection
    std::string correlation_id_;
    std::unique_ptr<edge::upstream_call> call_;
    http_head head_;
    edge::upstream_framing framing_;
    serving::response_metadata answer_;
    handling handling_ = handling::discard;
    bool has_first_answer_ = false;
    duration first_answer_{-1};
    std::string buffered_;
    std::size_t discarded_bytes_ = 0;   /**< Of the present attempt's body. */
    std::optional<server_error> error_; /**< To pass on if no better answer comes. */
    bool has_begun_ = false;
    sse_splitter events_;
};

} // namespace camphorgrade::entry
