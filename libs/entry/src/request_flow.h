#pragma once

#include "response_attempt.h"
#include "stream_attempt_report.h"
#include "stream_position.h"

#include <edge/buffer_budget.h>
#include <edge/caller_exchange.h>
#include <edge/upstream_pool.h>
#include <serving/dispatcher.h>
#include <serving/request_codec.h>

#include <memory>
#include <optional>
#include <string>

namespace camphorgrade::entry {

/** Interface of a request_flow to its process. Must outlive the flow. */
class request_flow_host {
public:
    request_flow_host() = default;
    request_flow_host(const request_flow_host&) = delete;
    request_flow_host& operator=(const request_flow_host&) = delete;
    virtual ~request_flow_host() = default;

    virtual time_point now() const = 0;
    virtual edge::upstream_pool& pool() = 0;
    virtual const serving::request_codec& codec() const = 0;
    virtual liveness_checker& liveness() = 0;
    virtual serving::dispatcher& dispatcher() = 0;

    /** The head of a backend server's response arrived; the host informs the dispatcher. */
    virtual void on_response_head(serving::request_handle request,
                                  const serving::response_metadata& response) = 0;

    /** An attempt ended that had begun or resumed an event stream, or whose response had neither a
        length nor chunks; called before on_attempt_ended(). */
    virtual void on_stream_attempt(serving::request_handle request,
                                   const stream_attempt_report& report) = 0;

    /** An attempt ended; the host passes this to the dispatcher and executes its effects. */
    virtual void on_attempt_ended(serving::request_handle request,
                                  serving::attempt_outcome outcome) = 0;

    /**
     * The request is complete or aborted. `status` is that of the response, 0 for an aborted one.
     * The host must not destroy the flow within this call.
     */
    virtual void on_request_finished(serving::request_handle request, int status) = 0;
};

/**
 * Sends one request to backend servers and forwards the response to its caller.
 *
 * A response that isn't an event stream is forwarded once it is complete. An event stream is
 * forwarded by complete events, so that another backend server can continue after the last of them.
 * A body that ends within an event is incomplete, however it is delimited. A body that ends with
 * its connection is complete only if the server process is alive afterwards; the caller gets the
 * end of the response when that is known. The sizes of a buffered response, of an
 * incomplete event and of a refusal's body are bounded, and those of all flows together by the
 * budget of the host's pool. Not thread safe.
 */
class request_flow final : public edge::upstream_sink, public edge::buffer_holder {
public:
    request_flow(request_flow_host& host, serving::request_handle request,
                 std::shared_ptr<edge::caller_exchange> exchange, std::string correlation_id);

    /** Sends the request to a backend server, or resumes its event stream there. */
    void start_attempt(const serving::send_attempt& effect);

    /**
     * Ends the request: aborts a response that has started, else forwards a backend server's error
     * response if there is one and the request may have run, else sends a refusal.
     */
    void finish(const serving::end_request& effect);

    void on_head(const http_head& head, const edge::upstream_framing& framing) override;
    void on_body(std::string_view bytes) override;
    void on_end() override;
    void on_failure(edge::upstream_failure why) override;

    /** Ends the present attempt, which isn't held against its server, and drops the error response
        of an earlier one. */
    void release_buffers() override;

    const std::string& correlation_id() const noexcept { return correlation_id_; }
    const edge::caller_exchange& exchange() const noexcept { return *exchange_; }
    /** Whether a part of the response, at least its head, went to the caller. Such a response can
        only be continued or aborted. */
    bool has_response_started() const noexcept { return has_response_started_; }

    /**
     * Time from the arrival of the request to the first byte of the latest response; -1 ms before
     * any byte of a response has arrived.
     */
    duration time_to_first_byte() const noexcept { return time_to_first_byte_; }

    /** Cancels the call to the backend server, since the caller has disconnected. */
    void cancel();

private:
    /** A backend server's complete response with an error status. */
    struct server_error {
        http_head head;
        std::string body;
    };

    void record_first_byte();
    void discard(std::string_view bytes);
    void buffer(std::string_view bytes);
    void stream(std::string_view bytes);
    /** Whether `event` may follow what the caller has. */
    bool is_continuation(const sse_event& event) const;
    void forward(std::string_view bytes);
    /** Counts what this flow buffers. */
    void count_buffers();
    void begin_response();
    /** Whether nothing shows so far that the body, which has ended, isn't complete. */
    bool may_be_whole() const;
    /** Finds out whether the process has outlived the end of its connection. */
    void check_process();
    void on_process_checked(process_state state);
    /** The response is complete. */
    void complete();
    void complete_stream(body_end end);
    void complete_buffered(body_end end);
    /** Ends the present attempt, reports it, and lets the host decide what follows. */
    void end_attempt(body_end end, serving::attempt_outcome outcome);
    /** Ends the present attempt because of an incomplete or invalid response. */
    void abort_attempt(body_end end);
    /** Reports what the present attempt contributed, if it began or resumed an event stream or its
        response has neither a length nor chunks. */
    void report_attempt(body_end end);
    /**
     * The outcome of an attempt that the backend server refused.
     * Precondition: the head of the present response says that the request didn't run.
     */
    serving::attempt_outcome refused_outcome() const;

    request_flow_host& host_;
    serving::request_handle request_;
    std::shared_ptr<edge::caller_exchange> exchange_; // shared with the caller's connection
    std::string correlation_id_;
    std::optional<response_attempt> attempt_; /**< Empty between attempts. */
    duration time_to_first_byte_{-1};
    std::optional<server_error> server_error_; /**< Forwarded if no later attempt succeeds. */
    bool has_response_started_ = false;
    stream_position position_; /**< Of what was forwarded by all attempts. */
    edge::buffer_share share_;
};

} // namespace camphorgrade::entry
