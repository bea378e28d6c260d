#include "request_flow.h"

#include "refusal_response.h"

#include <edge/header_rules.h>

#include <algorithm>
#include <utility>

namespace camphorgrade::entry {

namespace {

constexpr int status_ok = 200;
constexpr int status_redirect = 300;
constexpr int status_misdirected = 421;
// Limit for a response that is buffered until it is complete.
constexpr std::size_t max_buffered_response_bytes = std::size_t{8} * 1024 * 1024;
// Limit for the incomplete event of a stream that may be resumed.
constexpr std::size_t max_event_bytes = std::size_t{1} * 1024 * 1024;
// The body of a refusal is read only so that its connection can be reused.
constexpr std::size_t max_refusal_bytes = std::size_t{64} * 1024;
constexpr duration refusal_body_timeout{300};

body_end body_end_of(edge::upstream_failure failure) {
    switch (failure) {
    case edge::upstream_failure::not_connected:
    case edge::upstream_failure::reset:
        return body_end::reset;
    case edge::upstream_failure::closed:
        return body_end::closed;
    case edge::upstream_failure::timed_out:
        return body_end::timed_out;
    case edge::upstream_failure::malformed:
        return body_end::malformed;
    }
    return body_end::reset;
}

body_end body_end_of(const edge::upstream_framing& framing) {
    if (framing.has_length) {
        return body_end::complete_length;
    }
    return framing.ends_with_connection ? body_end::end_with_connection : body_end::last_chunk;
}

bool is_success(int status) {
    return status >= status_ok && status < status_redirect;
}

} // namespace

request_flow::request_flow(request_flow_host& host, serving::request_handle request,
                           std::shared_ptr<edge::caller_exchange> exchange,
                           std::string correlation_id)
    : host_(host), request_(request), exchange_(std::move(exchange)),
      correlation_id_(std::move(correlation_id)) {}

void request_flow::start_attempt(const serving::send_attempt& effect) {
    const auto& caller_request = exchange_->request();
    serving::attempt_metadata metadata;
    metadata.backend_id = effect.backend_id;
    metadata.time_left =
        std::max(duration{1}, host_.dispatcher().deadline_of(request_) - host_.now());
    metadata.account = host_.dispatcher().account_of(request_);
    metadata.urgency = effect.urgency;
    metadata.weights_version = effect.expected_version;
    if (has_response_started_) {
        metadata.resume_after = events_.last_event_id();
        events_.discard_incomplete_event();
    }
    resumed_after_ = metadata.resume_after;
    events_before_ = events_.event_count();
    edge::upstream_request request;
    request.method = caller_request.method;
    request.target = caller_request.target;
    request.headers = host_.codec().encode(caller_request.headers, metadata);
    request.body = caller_request.body;
    request.correlation_header = host_.codec().correlation_header();
    request.correlation_id = correlation_id_;
    head_ = {};
    response_ = {};
    discarded_bytes_ = 0;
    has_first_byte_ = false;
    body_mode_ = body_mode::discard;
    const edge::upstream_address to{
        {boost::asio::ip::make_address(effect.address.ip), effect.address.port}, effect.backend_id};
    call_ = host_.pool().start(to, request, *this);
}

bool request_flow::is_event_stream() const {
    const auto type = find_header(head_.headers, "Content-Type").value_or("");
    return type.find("text/event-stream") != std::string::npos;
}

void request_flow::on_head(const http_head& head, const edge::upstream_framing& framing) {
    head_ = head;
    framing_ = framing;
    response_ = host_.codec().decode_response(head);
    host_.on_response_head(request_, response_);
    if (response_.has_not_run) {
        body_mode_ = body_mode::discard;
        call_->set_timeout(refusal_body_timeout);
        return;
    }
    const bool is_acceptable = response_.is_sealed && !response_.is_encoded;
    if (is_success(head.status) && !is_acceptable) {
        abort_attempt(body_end::cancelled);
        return;
    }
    body_mode_ =
        is_success(head.status) && is_event_stream() ? body_mode::stream : body_mode::buffer;
    buffered_.clear();
    if (has_response_started_ && body_mode_ != body_mode::stream) {
        body_mode_ = body_mode::discard; // an event stream can't continue with this response
    }
}

void request_flow::record_first_byte() {
    if (!has_first_byte_) {
        has_first_byte_ = true;
        time_to_first_byte_ = host_.now() - exchange_->request().received;
        host_.dispatcher().on_first_byte(request_, host_.now());
    }
}

void request_flow::on_body(std::string_view bytes) {
    if (body_mode_ == body_mode::discard) {
        discarded_bytes_ += bytes.size();
        if (discarded_bytes_ > max_refusal_bytes) {
            abort_attempt(body_end::cancelled);
        }
        return;
    }
    record_first_byte();
    if (body_mode_ == body_mode::buffer) {
        buffered_.append(bytes);
        if (buffered_.size() > max_buffered_response_bytes) {
            abort_attempt(body_end::cancelled);
        }
        return;
    }
    const auto* route = host_.dispatcher().route_of(request_);
    if (route != nullptr && route->is_retryable()) {
        forward(events_.append(bytes));
        if (events_.incomplete_event().size() > max_event_bytes) {
            abort_attempt(body_end::cancelled);
        }
    } else {
        forward(bytes);
    }
}

void request_flow::begin_response() {
    const auto* route = host_.dispatcher().route_of(request_);
    const bool is_resumable = route != nullptr && route->is_retryable();
    const bool keeps_length = framing_.has_length && !is_resumable;
    has_response_started_ = true;
    exchange_->begin({head_.status, edge::end_to_end_headers(head_.headers)},
                     keeps_length ? std::optional(framing_.length) : std::nullopt);
}

void request_flow::forward(std::string_view bytes) {
    if (bytes.empty()) {
        return;
    }
    if (!has_response_started_) {
        begin_response();
    }
    exchange_->write(bytes);
}

void request_flow::on_end() {
    call_.reset();
    report_stream(body_end_of(framing_));
    if (response_.has_not_run) {
        attempt_failed(refused_outcome());
        return;
    }
    record_first_byte();
    if (body_mode_ == body_mode::stream) {
        forward(events_.incomplete_event());
        if (!has_response_started_) {
            begin_response();
        }
        exchange_->finish();
        host_.on_attempt_ended(request_, serving::attempt_outcome::completed);
        host_.on_request_finished(request_, head_.status);
        return;
    }
    if (body_mode_ == body_mode::discard) {
        attempt_failed(serving::attempt_outcome::invalid_response);
        return;
    }
    if (!is_success(head_.status)) {
        server_error_ =
            server_error{{head_.status, edge::end_to_end_headers(head_.headers)}, buffered_};
        attempt_failed(serving::attempt_outcome::error_response);
        return;
    }
    exchange_->answer({head_.status, edge::end_to_end_headers(head_.headers)}, buffered_);
    host_.on_attempt_ended(request_, serving::attempt_outcome::completed);
    host_.on_request_finished(request_, head_.status);
}

void request_flow::on_failure(edge::upstream_failure why) {
    if (why == edge::upstream_failure::not_connected) {
        call_.reset();
        report_stream(body_end_of(why));
        attempt_failed(serving::attempt_outcome::unreachable);
    } else {
        abort_attempt(body_end_of(why));
    }
}

void request_flow::report_stream(body_end end) {
    if (body_mode_ != body_mode::stream && !resumed_after_) {
        return;
    }
    stream_attempt_report report;
    report.resumed_after = resumed_after_;
    report.last_event_id = events_.last_event_id();
    report.forwarded_events = events_.event_count() - events_before_;
    report.incomplete_bytes = events_.incomplete_event().size();
    report.end = end;
    host_.on_stream_attempt(request_, report);
}

void request_flow::abort_attempt(body_end end) {
    call_.reset();
    report_stream(end);
    // A response head that says "not run" is valid even if the body is incomplete.
    attempt_failed(response_.has_not_run ? refused_outcome()
                                         : serving::attempt_outcome::invalid_response);
}

serving::attempt_outcome request_flow::refused_outcome() const {
    return head_.status == status_misdirected ? serving::attempt_outcome::wrong_weights
                                              : serving::attempt_outcome::refused;
}

void request_flow::attempt_failed(serving::attempt_outcome outcome) {
    host_.on_attempt_ended(request_, outcome);
}

void request_flow::finish(const serving::end_request& effect) {
    if (call_) {
        call_.reset();
        report_stream(body_end::cancelled);
    }
    if (has_response_started_) {
        exchange_->abort();
        host_.on_request_finished(request_, 0);
        return;
    }
    if (server_error_ && !has_not_run(effect.reason)) {
        exchange_->answer(server_error_->head, server_error_->body);
        host_.on_request_finished(request_, server_error_->head.status);
        return;
    }
    const auto refusal = make_refusal_response(effect);
    exchange_->answer(refusal.head, refusal.body);
    host_.on_request_finished(request_, refusal.head.status);
}

} // namespace camphorgrade::entry
