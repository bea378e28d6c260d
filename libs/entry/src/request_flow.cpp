#include "request_flow.h"

#include "refusal_response.h"

#include <edge/header_rules.h>

#include <algorithm>
#include <cctype>
#include <utility>

namespace camphorgrade::entry {

namespace {

constexpr int status_ok = 200;
constexpr int status_redirect = 300;
constexpr int status_misdirected = 421;
// Limit for a response that is buffered until it is complete.
constexpr std::size_t max_buffered_response_bytes = std::size_t{8} * 1024 * 1024;
// Limit for what is kept of a stream: its incomplete event and the comments before its first event.
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

bool is_content_type(const http_header& header) {
    return edge::same_header_name(header.name, "Content-Type");
}

bool names_event_stream(const http_header& header) {
    constexpr std::string_view media_type = "text/event-stream";
    const auto is_same = [](unsigned char a, unsigned char b) { return std::tolower(a) == b; };
    const auto& value = header.value; // may be a list, if an intermediary has joined several lines
    return std::search(value.begin(), value.end(), media_type.begin(), media_type.end(), is_same) !=
           value.end();
}

/** Whether a successful response is an event stream. Its media type may be missing where `matched`
    allows nothing else, and each of several types counts. */
bool is_event_stream(const http_head& head, const serving::route* matched) {
    const auto& all = head.headers;
    const bool has_type = std::any_of(all.begin(), all.end(), is_content_type);
    if (!has_type) {
        return matched != nullptr && matched->kind == serving::request_kind::streaming;
    }
    return std::any_of(all.begin(), all.end(), [](const http_header& each) {
        return is_content_type(each) && names_event_stream(each);
    });
}

} // namespace

request_flow::request_flow(request_flow_host& host, serving::request_handle request,
                           std::shared_ptr<edge::caller_exchange> exchange,
                           std::string correlation_id)
    : host_(host), request_(request), exchange_(std::move(exchange)),
      correlation_id_(std::move(correlation_id)), share_(host.pool().budget(), *this) {}

void request_flow::start_attempt(const serving::send_attempt& effect) {
    const auto& caller_request = exchange_->request();
    serving::attempt_metadata metadata;
    metadata.backend_id = effect.backend_id;
    metadata.time_left =
        std::max(duration{1}, host_.dispatcher().deadline_of(request_) - host_.now());
    metadata.account = host_.dispatcher().account_of(request_);
    metadata.urgency = effect.urgency;
    metadata.weights_version = effect.expected_version;
    metadata.resume_after = position_.last_event_id();
    edge::upstream_request request;
    request.method = caller_request.method;
    request.target = caller_request.target;
    request.headers = host_.codec().encode(caller_request.headers, metadata);
    request.body = caller_request.body;
    request.correlation_header = host_.codec().correlation_header();
    request.correlation_id = correlation_id_;
    const edge::upstream_address to{
        {boost::asio::ip::make_address(effect.address.ip), effect.address.port}, effect.backend_id};
    attempt_.emplace();
    attempt_->address = to;
    attempt_->process = {effect.backend_id, effect.started_at_ms};
    attempt_->service = effect.service;
    attempt_->resumed_after = metadata.resume_after;
    attempt_->call = host_.pool().start(to, request, *this);
}

void request_flow::on_head(const http_head& head, const edge::upstream_framing& framing) {
    attempt_->head = head;
    attempt_->framing = framing;
    attempt_->metadata = host_.codec().decode_response(head);
    const auto response = attempt_->metadata;
    host_.on_response_head(request_, response);
    if (!attempt_) {
        return;
    }
    if (response.has_not_run) {
        attempt_->call->set_timeout(refusal_body_timeout);
        return;
    }
    const bool is_acceptable = response.is_sealed && !response.is_encoded;
    if (is_success(head.status) && !is_acceptable) {
        abort_attempt(body_end::cancelled);
        return;
    }
    const auto* matched = host_.dispatcher().route_of(request_);
    if (is_success(head.status) && is_event_stream(head, matched)) {
        attempt_->mode = body_mode::stream;
    } else if (!has_response_started_) { // an event stream can't continue with another response
        attempt_->mode = body_mode::buffer;
    }
}

void request_flow::record_first_byte() {
    if (!attempt_->has_first_byte) {
        attempt_->has_first_byte = true;
        time_to_first_byte_ = host_.now() - exchange_->request().received;
        host_.dispatcher().on_first_byte(request_, host_.now());
    }
}

void request_flow::on_body(std::string_view bytes) {
    switch (attempt_->mode) {
    case body_mode::discard:
        discard(bytes);
        break;
    case body_mode::buffer:
        buffer(bytes);
        break;
    case body_mode::stream:
        stream(bytes);
        break;
    }
}

void request_flow::discard(std::string_view bytes) {
    attempt_->discarded_bytes += bytes.size();
    if (attempt_->discarded_bytes > max_refusal_bytes) {
        abort_attempt(body_end::cancelled);
    }
}

void request_flow::buffer(std::string_view bytes) {
    record_first_byte();
    attempt_->buffered.append(bytes);
    count_buffers();
    if (attempt_->buffered.size() > max_buffered_response_bytes) {
        abort_attempt(body_end::cancelled);
    }
}

void request_flow::stream(std::string_view bytes) {
    std::string accepted;
    bool is_valid = true;
    for (const auto& event : attempt_->events.append(bytes)) {
        is_valid = is_continuation(event);
        if (!is_valid) {
            break;
        }
        if (event.is_comment && !has_response_started_ && attempt_->accepted_events == 0) {
            attempt_->held_comments += event.bytes;
            continue;
        }
        accepted += attempt_->held_comments;
        attempt_->held_comments.clear();
        accepted += event.bytes;
        if (!event.is_comment) {
            record_first_byte();
            ++attempt_->accepted_events;
        }
        position_.on_event(event);
    }
    forward(accepted);
    if (!attempt_) { // the caller has disconnected
        return;
    }
    count_buffers();
    const auto kept_bytes = attempt_->events.incomplete_bytes() + attempt_->held_comments.size();
    if (!is_valid || kept_bytes > max_event_bytes) {
        abort_attempt(body_end::cancelled);
    }
}

bool request_flow::is_continuation(const sse_event& event) const {
    if (event.is_comment) {
        return true;
    }
    if (attempt_->accepted_events == 0) {
        const auto& after = attempt_->resumed_after;
        return !after || (event.id && *event.id > *after);
    }
    // The ids of a run rise; one that doesn't shows a repeated event, or one of another run.
    const auto last = position_.last_event_id();
    return !event.id || !last || *event.id > *last;
}

void request_flow::begin_response() {
    const auto* route = host_.dispatcher().route_of(request_);
    const bool is_resumable = route != nullptr && route->is_retryable();
    const auto& framing = attempt_->framing;
    const bool keeps_length = framing.has_length && !is_resumable;
    const auto& head = attempt_->head;
    has_response_started_ = true;
    exchange_->begin({head.status, edge::end_to_end_headers(head.headers)},
                     keeps_length ? std::optional(framing.length) : std::nullopt);
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
    const auto end = body_end_of(attempt_->framing);
    if (attempt_->metadata.has_not_run) {
        end_attempt(end, refused_outcome());
    } else if (attempt_->mode == body_mode::discard) {
        record_first_byte();
        end_attempt(end, serving::attempt_outcome::invalid_response);
    } else if (!may_be_whole()) {
        end_attempt(end, serving::attempt_outcome::invalid_response);
    } else if (attempt_->framing.ends_with_connection) {
        check_process();
    } else {
        complete();
    }
}

bool request_flow::may_be_whole() const {
    if (attempt_->mode != body_mode::stream) {
        return true;
    }
    // Without an event, nothing shows that a body without length and chunks is the stream.
    const bool is_empty = attempt_->framing.ends_with_connection && attempt_->accepted_events == 0;
    return attempt_->events.incomplete_bytes() == 0 && !is_empty;
}

void request_flow::check_process() {
    const auto* catalogue = host_.dispatcher().catalogue();
    const auto* service =
        catalogue == nullptr ? nullptr : catalogue->find_service(attempt_->service);
    attempt_->check =
        host_.liveness().start(attempt_->address, attempt_->process, service,
                               [this](process_state state) { on_process_checked(state); });
}

void request_flow::on_process_checked(process_state state) {
    attempt_->state_after_end = state;
    switch (state) {
    case process_state::alive:
        complete();
        break;
    case process_state::ended:
        end_attempt(body_end::end_with_connection, serving::attempt_outcome::invalid_response);
        break;
    case process_state::unknown:
        end_attempt(body_end::end_with_connection, serving::attempt_outcome::unproven_response);
        break;
    }
}

void request_flow::complete() {
    const auto end = body_end_of(attempt_->framing);
    record_first_byte();
    if (attempt_->mode == body_mode::stream) {
        complete_stream(end);
    } else {
        complete_buffered(end);
    }
}

void request_flow::complete_stream(body_end end) {
    forward(attempt_->held_comments);
    if (!attempt_) { // the caller has disconnected
        return;
    }
    if (!has_response_started_) {
        begin_response();
    }
    exchange_->finish();
    const int status = attempt_->head.status;
    end_attempt(end, serving::attempt_outcome::completed);
    host_.on_request_finished(request_, status);
}

void request_flow::complete_buffered(body_end end) {
    const http_head head{attempt_->head.status, edge::end_to_end_headers(attempt_->head.headers)};
    if (!is_success(head.status)) {
        server_error_ = server_error{head, std::move(attempt_->buffered)};
        end_attempt(end, serving::attempt_outcome::error_response);
        return;
    }
    exchange_->answer(head, attempt_->buffered);
    end_attempt(end, serving::attempt_outcome::completed);
    host_.on_request_finished(request_, head.status);
}

void request_flow::on_failure(edge::upstream_failure why) {
    if (why == edge::upstream_failure::not_connected) {
        end_attempt(body_end_of(why), serving::attempt_outcome::unreachable);
    } else if (why == edge::upstream_failure::malformed && attempt_->metadata.is_sealed &&
               !attempt_->metadata.has_not_run) {
        end_attempt(body_end_of(why), serving::attempt_outcome::unproven_response);
    } else {
        abort_attempt(body_end_of(why));
    }
}

void request_flow::abort_attempt(body_end end) {
    // A response head that says "not run" is valid even if the body is incomplete.
    end_attempt(end, attempt_->metadata.has_not_run ? refused_outcome()
                                                    : serving::attempt_outcome::invalid_response);
}

void request_flow::end_attempt(body_end end, serving::attempt_outcome outcome) {
    report_attempt(end);
    attempt_.reset();
    count_buffers();
    if (!position_.is_known()) {
        host_.dispatcher().forbid_retry(request_);
    }
    host_.on_attempt_ended(request_, outcome);
}

std::size_t request_flow::attempt_bytes() const {
    return attempt_ ? attempt_->buffered.size() + attempt_->events.incomplete_bytes() +
                          attempt_->held_comments.size()
                    : 0;
}

void request_flow::count_buffers() {
    share_.set(attempt_bytes() + (server_error_ ? server_error_->body.size() : 0));
}

bool request_flow::release_buffers() {
    const auto kept_bytes = server_error_ ? server_error_->body.size() : 0;
    if (kept_bytes > attempt_bytes()) {
        server_error_.reset();
        count_buffers();
    } else if (attempt_) {
        // What this process can't keep says nothing of the server, which may be sound.
        host_.dispatcher().forbid_retry(request_);
        end_attempt(body_end::cancelled, attempt_->metadata.has_not_run
                                             ? refused_outcome()
                                             : serving::attempt_outcome::unproven_response);
    }
    return true;
}

void request_flow::cancel() {
    attempt_.reset();
    count_buffers();
}

void request_flow::report_attempt(body_end end) {
    const bool is_stream = attempt_->mode == body_mode::stream || attempt_->resumed_after;
    if (!is_stream && !attempt_->framing.ends_with_connection) {
        return;
    }
    stream_attempt_report report;
    report.is_stream = is_stream;
    report.ends_with_connection = attempt_->framing.ends_with_connection;
    report.is_reused_connection = attempt_->framing.is_reused_connection;
    report.resumed_after = attempt_->resumed_after;
    report.last_event_id = position_.last_event_id();
    report.forwarded_events = attempt_->accepted_events;
    report.incomplete_bytes = attempt_->events.incomplete_bytes();
    report.end = end;
    report.state_after_end = attempt_->state_after_end;
    host_.on_stream_attempt(request_, report);
}

serving::attempt_outcome request_flow::refused_outcome() const {
    return attempt_->head.status == status_misdirected ? serving::attempt_outcome::wrong_weights
                                                       : serving::attempt_outcome::refused;
}

void request_flow::finish(const serving::end_request& effect) {
    if (attempt_) {
        report_attempt(body_end::cancelled);
        cancel();
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
