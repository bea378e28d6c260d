#include "soak_caller.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>

namespace camphorgrade::soak {

namespace {

namespace http = boost::beast::http;

constexpr duration connect_timeout{1'000};
constexpr duration timeout_slack{500}; // after the timeout of a route
constexpr duration caller_timeout = route_timeout + 2 * timeout_slack;
constexpr duration min_fault_free_time{3'000};
constexpr duration config_propagation_bound{2'000};
constexpr duration max_pause{80};
constexpr int requests_per_connection = 12;
constexpr int max_resumptions = 3;
constexpr duration in_touch_time{3'000}; // a gateway without faults for this time is in touch
constexpr std::size_t min_servers_of_version = 2;
constexpr duration min_resumption_time{300}; // a shorter rest of the deadline is given up
constexpr duration refusal_pause{300};
constexpr duration startup_time{500}; // a process that was started listens after less
constexpr std::uint64_t plan_tokens = 9'190;
constexpr std::uint64_t answer_tokens = 826;
constexpr double abandoned_share = 0.05;
constexpr std::size_t long_body_bytes = 400'000;

bool means_not_executed(int status) {
    constexpr std::array statuses{408, 421, 429, 503};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

const char* outcome_name(request_outcome outcome) {
    switch (outcome) {
    case request_outcome::complete:
        return "complete";
    case request_outcome::refused:
        return "refused";
    case request_outcome::failed:
        return "failed";
    case request_outcome::truncated:
        return "truncated";
    case request_outcome::closed:
        return "closed";
    case request_outcome::abandoned:
        return "abandoned";
    }
    return "";
}

bool is_stream(request_class kind) {
    return kind == request_class::plan || kind == request_class::answer;
}

http::request<http::string_body> make_message(const sent_request& request, const caller_key& key,
                                              const std::string& adapter) {
    const auto verb = request.method == "GET" ? http::verb::get : http::verb::post;
    http::request<http::string_body> out{verb, request.target, 11};
    out.set(http::field::host, soak_host);
    out.set("X-Request-Id", request.id);
    out.set("X-Deadline-Ms", std::to_string(request.deadline.count()));
    out.set(http::field::authorization, "Bearer " + key.key);
    out.set("X-Tenant", "somebody-else");
    if (is_stream(request.kind)) {
        out.set("X-Model", "base/" + adapter);
        out.set("X-Token-Usage", std::to_string(request.tokens - 1) + ",1");
        out.set("X-Prompt-Prefix", request.parts.text(request.number));
    }
    out.body() = request.body;
    out.prepare_payload();
    return out;
}

} // namespace

std::string route_path(request_class kind) {
    switch (kind) {
    case request_class::plan:
        return "/plan/";
    case request_class::answer:
        return "/answer/";
    case request_class::booking:
        return "/booking/";
    case request_class::report:
        return "/report/";
    }
    return "/";
}

soak_caller::soak_caller(boost::asio::io_context& loop, const clock& clock, std::uint64_t seed,
                         std::string name, const caller_context& context, ledger& request_ledger,
                         timeout_counts& timeouts)
    : clock_(clock), random_(seed), name_(std::move(name)), context_(context),
      ledger_(request_ledger), timeouts_(timeouts), stream_(loop), timer_(loop) {}

void soak_caller::schedule(duration delay, void (soak_caller::*next)()) {
    timer_.expires_after(delay);
    timer_.async_wait([this, next](const error_code& error) {
        if (!error) {
            (this->*next)();
        }
    });
}

void soak_caller::start() {
    connect();
}

void soak_caller::connect() {
    stream_.close();
    buffer_.clear();
    if (context_.is_stopping) {
        return;
    }
    gateway_ = random_.below(context_.gateways.size());
    stream_.expires_after(connect_timeout);
    stream_.async_connect(context_.gateways[gateway_], [this](const error_code& error) {
        remaining_requests_ = requests_per_connection;
        schedule(error ? max_pause : duration::zero(),
                 error ? &soak_caller::connect : &soak_caller::send_request);
    });
}

sent_request soak_caller::next_request(const caller_key& key) {
    constexpr std::array classes{request_class::plan, request_class::answer, request_class::booking,
                                 request_class::report};
    sent_request out;
    out.number = ++sent_count_;
    out.id = name_ + '-' + std::to_string(out.number);
    out.kind = context_.resumes_streams && random_.below(2) == 0
                   ? request_class::answer
                   : classes[random_.below(classes.size())];
    const bool is_read = out.kind == request_class::report;
    out.method = is_read ? "GET" : "POST";
    out.target = route_path(out.kind) + out.id + "?part=" + std::to_string(random_.below(100));
    out.body = is_read ? "" : "body of " + out.id;
    if (!is_read && context_.long_body_share > 0 && random_.unit() < context_.long_body_share) {
        out.body.resize(long_body_bytes, 'b');
    }
    if (is_stream(out.kind)) {
        out.parts = next_prompt();
    }
    out.account = key.account;
    out.tokens = out.kind == request_class::plan     ? plan_tokens
                 : out.kind == request_class::answer ? answer_tokens
                                                     : 200;
    out.deadline = route_timeout + duration{static_cast<duration::rep>(random_.below(1'000))};
    out.gateway = gateway_;
    out.sent = clock_.now();
    out.key = key_state_at(key, out.sent);
    return out;
}

prompt soak_caller::next_prompt() {
    if (context_.crashing_share <= 0) {
        return {crashing_first_part, false};
    }
    if (random_.unit() < context_.crashing_share) {
        return {crashing_first_part, true};
    }
    return {random_.below(2) == 0 ? crashing_first_part : sound_first_part, false};
}

key_state soak_caller::key_state_at(const caller_key& key, time_point now) const {
    const auto age = now - key.changed_at;
    const bool is_settled = age >= config_propagation_bound &&
                            context_.fault_free_time(gateway_) >= age + min_fault_free_time;
    if (key.is_valid) {
        return key.changed_at == time_point{} || is_settled ? key_state::valid
                                                            : key_state::uncertain;
    }
    return is_settled ? key_state::revoked : key_state::uncertain;
}

bool soak_caller::is_fault_free_since(time_point start) const {
    const auto now = clock_.now();
    return context_.fault_free_time(gateway_) >= now - start + min_fault_free_time;
}

void soak_caller::send_request() {
    if (remaining_requests_-- <= 0 || context_.is_stopping) {
        connect();
        return;
    }
    if (broken_) {
        resume_stream();
        return;
    }
    key_number_ = random_.below(context_.keys.size());
    const auto& key = context_.keys[key_number_];
    request_ = next_request(key);
    adapter_ = "a" + std::to_string(
                         random_.below(static_cast<std::uint64_t>(std::max(context_.adapters, 1))));
    progress_ = {};
    is_resumption_ = false;
    message_ = make_message(request_, key, adapter_);
    send_message();
}

void soak_caller::resume_stream() {
    const auto& key = context_.keys[key_number_];
    request_.number = ++sent_count_;
    request_.id = name_ + '-' + std::to_string(request_.number);
    request_.gateway = gateway_;
    request_.sent = clock_.now();
    request_.deadline = broken_->give_up_at - request_.sent;
    request_.key = key_state_at(key, request_.sent);
    progress_ = broken_->progress;
    ++ledger_.resumptions().sent;
    ledger_.resumptions().streams += is_resumption_ ? 0 : 1;
    is_resumption_ = true;
    message_ = make_message(request_, key, adapter_);
    message_.set("Resumes", broken_->first_request);
    message_.set("Last-Event-Id", std::to_string(progress_.last_event));
    send_message();
}

void soak_caller::send_message() {
    ledger_.on_sent(request_);
    was_in_touch_ = context_.fault_free_time(gateway_) >= in_touch_time;
    parser_.emplace();
    const bool is_abandoned = random_.unit() < abandoned_share;
    stream_.expires_after(is_abandoned ? duration{static_cast<duration::rep>(random_.below(150))}
                                       : caller_timeout);
    http::async_write(stream_, message_,
                      [this](const error_code& error, std::size_t) { on_sent(error); });
}

void soak_caller::on_sent(const error_code& error) {
    if (error) {
        on_head(error);
        return;
    }
    http::async_read_header(stream_, buffer_, *parser_,
                            [this](const error_code& failed, std::size_t) { on_head(failed); });
}

void soak_caller::on_head(const error_code& error) {
    if (error) {
        on_connection_end(error, request_outcome::closed, 0);
        return;
    }
    http::async_read(stream_, buffer_, *parser_,
                     [this](const error_code& failed, std::size_t) { on_response(failed); });
}

void soak_caller::on_response(const error_code& error) {
    check_identity();
    if (error) {
        check_body(false);
        on_connection_end(error, request_outcome::truncated,
                          static_cast<int>(parser_->get().result_int()));
        return;
    }
    on_request_end(check_response());
}

void soak_caller::check_identity() {
    const auto& response = parser_->get();
    const auto id = response.find("X-Request-Id");
    if (id != response.end() && id->value() != request_.id) {
        ledger_.report_violation("a response belongs to its request",
                                 request_.id + " got that of " + std::string(id->value()));
    }
}

void soak_caller::check_body(bool is_complete) {
    const auto& response = parser_->get();
    if (response.result_int() != 200) {
        return;
    }
    const std::string seal(response["X-Response-Seal"]);
    auto& responses = ledger_.responses();
    const auto fault = !responses.is_response_of(request_.id, seal)
                           ? std::optional("no run made the seal " + seal)
                       : is_stream(request_.kind)
                           ? check_stream(response.body(), is_complete)
                           : responses.check_plain(request_.id, seal, response.body(), is_complete);
    if (fault) {
        ledger_.report_violation(
            is_complete ? "a successful response is complete and belongs to its request"
                        : "a response that is cut consists of bytes of its request",
            request_.id + (is_stream(request_.kind) ? " (stream) " : " (plain) ") + *fault);
    }
}

std::optional<std::string> soak_caller::check_stream(const std::string& body, bool is_complete) {
    const auto check = ledger_.responses().check_stream(request_.id, body, is_complete, progress_);
    ledger_.resumptions().crossed += check.crosses_versions ? 1 : 0;
    progress_ = check.progress;
    return check.fault;
}

void soak_caller::on_connection_end(const error_code& error, request_outcome outcome, int status) {
    const bool has_timed_out = error == boost::beast::error::timeout;
    on_request_end({has_timed_out ? request_outcome::abandoned : outcome, status, false});
}

soak_caller::result soak_caller::check_response() {
    const auto& response = parser_->get();
    const auto status = static_cast<int>(response.result_int());
    const bool keeps_open = response.keep_alive();
    if (means_not_executed(status)) {
        if (response.find(http::field::retry_after) == response.end()) {
            ledger_.report_violation("a refusal has a Retry-After header", request_.id);
        }
        return {request_outcome::refused, status, keeps_open};
    }
    if (status != 200) {
        return {request_outcome::failed, status, keeps_open};
    }
    check_body(true);
    return {request_outcome::complete, status, keeps_open};
}

bool soak_caller::is_path_sound() const {
    return context_.fault_free_time(gateway_) > clock_.now() - request_.sent + startup_time;
}

void soak_caller::record_resumption(const result& end) {
    const bool has_new_event = progress_.last_event > broken_->progress.last_event;
    const auto now = clock_.now();
    const auto fault_free_time = context_.fault_free_time(gateway_);
    ledger_.resumptions().on_end(end.outcome, has_new_event, is_path_sound());
    ledger_.trace_resumption(
        std::to_string(request_.sent.time_since_epoch().count()) + ' ' + request_.id + " resumes " +
        broken_->first_request + " at entry " + std::to_string(gateway_ + 1) + " after event " +
        std::to_string(broken_->progress.last_event) + ", ended after " +
        std::to_string((now - request_.sent).count()) + " ms of " +
        std::to_string(request_.deadline.count()) + ": " + outcome_name(end.outcome) + " status " +
        std::to_string(end.status) + " at event " + std::to_string(progress_.last_event) +
        ", path without faults for " + std::to_string(fault_free_time.count()) +
        " ms, runs:" + ledger_.responses().describe_runs(request_.id));
}

void soak_caller::judge_begin(const result& end) {
    const bool is_judged = was_in_touch_ && request_.kind == request_class::answer &&
                           end.outcome != request_outcome::abandoned;
    if (is_judged) {
        ++ledger_.lost().new_streams;
        ledger_.lost().begun += progress_.last_event > 0 ? 1 : 0;
    }
}

void soak_caller::judge_resumption(const result& end, bool has_new_event) {
    const bool is_judged =
        was_in_touch_ && end.outcome != request_outcome::abandoned &&
        context_.servers_of_version(broken_->progress.version) >= min_servers_of_version;
    if (!is_judged) {
        return;
    }
    ledger_.lost().taken_up += broken_->is_judged ? 0 : 1;
    broken_->is_judged = true;
    if (has_new_event && !broken_->has_gone_on) {
        broken_->has_gone_on = true;
        ++ledger_.lost().went_on;
    }
}

std::optional<duration> soak_caller::prepare_resumption(const result& end) {
    const auto now = clock_.now();
    // An entry that is down accepts connections at its link, and closes them.
    const bool was_unreachable = end.outcome == request_outcome::closed && !is_path_sound();
    if (is_resumption_) {
        judge_resumption(end, progress_.last_event > broken_->progress.last_event);
        record_resumption(end);
        broken_->progress = progress_;
        broken_->remaining_tries -= was_unreachable ? 0 : 1;
    } else {
        judge_begin(end);
        broken_ = resumable_stream{request_.id, progress_, request_.sent + request_.deadline,
                                   max_resumptions};
    }
    const bool has_failed =
        end.outcome != request_outcome::complete && end.outcome != request_outcome::abandoned;
    const bool may_resume = context_.resumes_streams && has_failed &&
                            request_.kind == request_class::answer &&
                            broken_->progress.last_event > 0 && broken_->remaining_tries > 0 &&
                            broken_->give_up_at - now > min_resumption_time;
    if (!may_resume) {
        broken_.reset();
        return std::nullopt;
    }
    return end.outcome == request_outcome::refused || was_unreachable ? refusal_pause
                                                                      : duration::zero();
}

void soak_caller::on_request_end(const result& end) {
    record_outcome(end);
    if (const auto delay = prepare_resumption(end)) {
        schedule(*delay, &soak_caller::connect);
        return;
    }
    const auto pause = duration{
        static_cast<duration::rep>(random_.below(static_cast<std::uint64_t>(max_pause.count())))};
    schedule(pause, end.keeps_open ? &soak_caller::send_request : &soak_caller::connect);
}

void soak_caller::record_outcome(const result& end) {
    const auto now = clock_.now();
    const auto elapsed = now - request_.sent;
    ledger_.on_request_end(request_.id, end.outcome, end.status, now);
    if (!is_fault_free_since(request_.sent)) {
        return;
    }
    if (end.outcome == request_outcome::closed && ledger_.run_count(request_.id) > 0) {
        ledger_.report_violation("a forwarded request gets a response", request_.id);
    }
    const bool is_denied = end.status >= 400 && end.status < 500 && !means_not_executed(end.status);
    if (is_denied && request_.key == key_state::valid) {
        ledger_.report_violation("valid requests are not denied",
                                 request_.id + " status " + std::to_string(end.status));
    }
    timeouts_.open_at_timeout += elapsed > route_timeout ? 1 : 0;
    timeouts_.open_after_slack += elapsed > route_timeout + timeout_slack ? 1 : 0;
}

} // namespace camphorgrade::soak
