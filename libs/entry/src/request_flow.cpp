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
// Of an answer that is passed on when it is whole.
constexpr std::size_t max_whole_answer_bytes = std::size_t{8} * 1024 * 1024;
// Of one event of a stream that may be resumed.
constexpr std::size_t max_event_bytes = std::size_t{1} * 1024 * 1024;
// A refusal's body is read on only so that its connection can be used again.
constexpr std::size_t max_refusal_bytes = std::size_t{64} * 1024;
constexpr duration refusal_body_time{300};

bool is_success(int status) {
    return status >= status_ok && status < status_redirect;
}

} // namespace

request_flow::request_flow(request_flow_host& host, serving::request_handle request,
                           std::shared_ptr<edge::caller_exchange> exchange,
                           std::string correlation_id)
    : host_(host), request_(request), exchange_(std::move(exchange)),
      correlation_id_(std::move(correlation_id)) {}

void request_flow::start_attempt(const serving::send_attempt& how) {
    const auto& caller = exchange_->request();
    serving::attempt_metadata profile;
    profile.backend_id = how.backend_id;
    profile.time_left =
        std::max(duration{1}, host_.dispatcher().deadline_of(request_) - host_.now());
    profile.account = host_.dispatcher().account_of(request_);
    profile.urgency = how.urgency;
    profile.weights_version = how.expected_version;
    if (has_begun_) {
        profile.resume_after = events_.last_event_id();
        events_.discard_incomplete_event();
    }
    edge::upstream_request request;
    request.method = caller.method;
    request.target = caller.target;
    request.headers = host_.codec().encode(caller.headers, profile);
    request.body = caller.body;
    request.correlation_header = host_.codec().correlation_header();
    request.correlation_id = correlation_id_;
    head_ = {};
    answer_ = {};
    discarded_bytes_ = 0;
    has_first_answer_ = false;
    handling_ = handling::discard;
    const edge::upstream_address to{
        {boost::asio::ip::make_address(how.address.ip), how.address.port}, how.backend_id};
    call_ = host_.pool().start(to, request, *this);
}

bool request_flow::is_stream_answer() const {
    const auto type = find_header(head_.headers, "Content-Type").value_or("");
    return type.find("text/event-stream") != std::string::npos;
}

void request_flow::on_head(const http_head& head, const edge::upstream_framing& framing) {
    head_ = head;
    framing_ = framing;
    answer_ = host_.codec().decode_response(head);
    host_.on_response_head(request_, answer_);
    if (answer_.has_not_run) {
        handling_ = handling::discard;
        call_->set_timeout(refusal_body_time);
        return;
    }
    const bool is_usable = answer_.is_sealed && !answer_.is_encoded;
    if (is_success(head.status) && !is_usable) {
        break_off();
        return;
    }
    handling_ = is_success(head.status) && is_stream_answer() ? handling::stream : handling::buffer;
    buffered_.clear();
    if (has_begun_ && handling_ != handling::stream) {
        handling_ = handling::discard; // the stream can't go on with this
    }
}

void request_flow::note_first_answer() {
    if (!has_first_answer_) {
        has_first_answer_ = true;
        first_answer_ = host_.now() - exchange_->request().received;
        host_.dispatcher().on_first_byte(request_, host_.now());
    }
}

void request_flow::on_body(std::string_view bytes) {
    if (handling_ == handling::discard) {
        discarded_bytes_ += bytes.size();
        if (discarded_bytes_ > max_refusal_bytes) {
            break_off();
        }
        return;
    }
    note_first_answer();
    if (handling_ == handling::buffer) {
        buffered_.append(bytes);
        if (buffered_.size() > max_whole_answer_bytes) {
            break_off();
        }
        return;
    }
    const auto* route = host_.dispatcher().route_of(request_);
    if (route != nullptr && route->is_retryable()) {
        pass_on(events_.append(bytes));
        if (events_.incomplete_event().size() > max_event_bytes) {
            break_off();
        }
    } else {
        pass_on(bytes);
    }
}

void request_flow::begin_stream() {
    const auto* route = host_.dispatcher().route_of(request_);
    const bool may_resume = route != nullptr && route->is_retryable();
    const bool keeps_length = framing_.has_length && !may_resume;
    has_begun_ = true;
    exchange_->begin({head_.status, edge::end_to_end_headers(head_.headers)},
                     keeps_length ? std::optional(framing_.length) : std::nullopt);
}

void request_flow::pass_on(std::string_view bytes) {
    if (bytes.empty()) {
        return;
    }
    if (!has_begun_) {
        begin_stream();
    }
    exchange_->write(bytes);
}

void request_flow::on_end() {
    call_.reset();
    if (answer_.has_not_run) {
        attempt_failed(refusal());
        return;
    }
    note_first_answer();
    if (handling_ == handling::stream) {
        pass_on(events_.incomplete_event());
        if (!has_begun_) {
            begin_stream();
        }
        exchange_->finish();
        host_.on_attempt_ended(request_, serving::attempt_outcome::completed);
        host_.on_request_finished(request_, head_.status);
        return;
    }
    if (handling_ == handling::discard) {
        attempt_failed(serving::attempt_outcome::invalid_response);
        return;
    }
    if (!is_success(head_.status)) {
        error_ = server_error{{head_.status, edge::end_to_end_headers(head_.headers)}, buffered_};
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
        attempt_failed(serving::attempt_outcome::unreachable);
    } else {
        break_off();
    }
}

void request_flow::break_off() {
    call_.reset();
    // A head that says "not run" holds, whatever became of its body.
    attempt_failed(answer_.has_not_run ? refusal() : serving::attempt_outcome::invalid_response);
}

serving::attempt_outcome request_flow::refusal() const {
    return head_.status == status_misdirected ? serving::attempt_outcome::wrong_weights
                                              : serving::attempt_outcome::refused;
}

void request_flow::attempt_failed(serving::attempt_outcome outcome) {
    host_.on_attempt_ended(request_, outcome);
}

void request_flow::finish(const serving::end_request& how) {
    call_.reset();
    if (has_begun_) {
        exchange_->abort();
        host_.on_request_finished(request_, 0);
        return;
    }
    if (error_ && !has_not_run(how.reason)) {
        exchange_->answer(error_->head, error_->body);
        host_.on_request_finished(request_, error_->head.status);
        return;
    }
    const auto refusal = make_refusal_response(how);
    exchange_->answer(refusal.head, refusal.body);
    host_.on_request_finished(request_, refusal.head.status);
}

} // namespace camphorgrade::entry
