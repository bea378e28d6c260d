#include "soak_caller.h"

#include "soak_backend.h"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>

namespace camphorgrade::soak {

namespace {

namespace http = boost::beast::http;

constexpr duration connect_timeout{1'000};
constexpr duration answer_slack{500}; // after a route's timeout
constexpr duration caller_patience = route_timeout + 2 * answer_slack;
constexpr duration calm_time{3'000};
constexpr duration config_bound{2'000};
constexpr duration longest_pause{80};
constexpr int requests_a_connection = 12;
constexpr std::uint64_t plan_tokens = 9'190;
constexpr std::uint64_t answer_tokens = 826;
constexpr double leaving_share = 0.05;

bool promises_not_run(int status) {
    constexpr std::array promises{408, 421, 429, 503};
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

std::string whole_stream(const std::string& request) {
    std::string out;
    for (int i = 1; i <= stream_events; ++i) {
        out += stream_event(request, i);
    }
    return out;
}

bool is_stream(request_class what) {
    return what == request_class::plan || what == request_class::answer;
}

http::request<http::string_body> message_of(const sent_request& request, const caller_key& key,
                                            const std::string& adapter) {
    const auto verb = request.method == "GET" ? http::verb::get : http::verb::post;
    http::request<http::string_body> out{verb, request.target, 11};
    out.set(http::field::host, soak_host);
    out.set("X-Request-Id", request.id);
    out.set("X-Deadline-Ms", std::to_string(request.deadline.count()));
    out.set(http::field::authorization, "Bearer " + key.key);
    out.set("X-Tenant", "somebody-else");
    if (is_stream(request.what)) {
        out.set("X-Model", "base/" + adapter);
        out.set("X-Token-Usage", std::to_string(request.tokens - 1) + ",1");
        out.set("X-Prompt-Prefix", "a1:100");
    }
    out.body() = request.body;
    out.prepare_payload();
    return out;
}

} // namespace

std::string path_of(request_class what) {
    switch (what) {
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
                         std::string name, const caller_world& world, ledger& record,
                         timeout_count& late)
    : clock_(clock), random_(seed), name_(std::move(name)), world_(world), record_(record),
      late_(late), stream_(loop), timer_(loop) {}

void soak_caller::after(duration length, void (soak_caller::*then)()) {
    timer_.expires_after(length);
    timer_.async_wait([this, then](const error_code& error) {
        if (!error) {
            (this->*then)();
        }
    });
}

void soak_caller::start() {
    connect();
}

void soak_caller::connect() {
    stream_.close();
    buffer_.clear();
    if (world_.is_over) {
        return;
    }
    gateway_ = random_.below(world_.gateways.size());
    stream_.expires_after(connect_timeout);
    stream_.async_connect(world_.gateways[gateway_], [this](const error_code& error) {
        left_on_connection_ = requests_a_connection;
        after(error ? longest_pause : duration::zero(),
              error ? &soak_caller::connect : &soak_caller::ask);
    });
}

const caller_key& soak_caller::pick_key() {
    return world_.keys[random_.below(world_.keys.size())];
}

sent_request soak_caller::next_request(const caller_key& key) {
    constexpr std::array classes{request_class::plan, request_class::answer, request_class::booking,
                                 request_class::report};
    sent_request out;
    out.id = name_ + '-' + std::to_string(++sent_);
    out.what = classes[random_.below(classes.size())];
    const bool reads = out.what == request_class::report;
    out.method = reads ? "GET" : "POST";
    out.target = path_of(out.what) + out.id + "?part=" + std::to_string(random_.below(100));
    out.body = reads ? "" : "body of " + out.id;
    out.account = key.account;
    out.tokens = out.what == request_class::plan     ? plan_tokens
                 : out.what == request_class::answer ? answer_tokens
                                                     : 200;
    out.deadline = route_timeout + duration{static_cast<duration::rep>(random_.below(1'000))};
    out.sent = clock_.now();
    out.key = state_of(key, out.sent);
    return out;
}

key_state soak_caller::state_of(const caller_key& key, time_point now) const {
    const auto since = now - key.changed;
    const bool is_settled = since >= config_bound && world_.calm_for(gateway_) >= since + calm_time;
    if (key.is_valid) {
        return key.changed == time_point{} || is_settled ? key_state::valid : key_state::unsettled;
    }
    return is_settled ? key_state::withdrawn : key_state::unsettled;
}

bool soak_caller::is_calm_since(time_point begin) const {
    const auto now = clock_.now();
    return world_.calm_for(gateway_) >= now - begin + calm_time;
}

void soak_caller::ask() {
    if (left_on_connection_-- <= 0 || world_.is_over) {
        connect();
        return;
    }
    const auto& key = pick_key();
    request_ = next_request(key);
    record_.on_sent(request_);
    const auto adapter =
        "a" +
        std::to_string(random_.below(static_cast<std::uint64_t>(std::max(world_.adapters, 1))));
    message_ = message_of(request_, key, adapter);
    answer_.emplace();
    const bool leaves = random_.unit() < leaving_share;
    stream_.expires_after(leaves ? duration{static_cast<duration::rep>(random_.below(150))}
                                 : caller_patience);
    http::async_write(stream_, message_,
                      [this](const error_code& error, std::size_t) { on_sent(error); });
}

void soak_caller::on_sent(const error_code& error) {
    if (error) {
        on_head(error);
        return;
    }
    http::async_read_header(stream_, buffer_, *answer_,
                            [this](const error_code& failed, std::size_t) { on_head(failed); });
}

void soak_caller::on_head(const error_code& error) {
    if (error) {
        on_cut(error, caller_end::closed, 0);
        return;
    }
    http::async_read(stream_, buffer_, *answer_,
                     [this](const error_code& failed, std::size_t) { on_answer(failed); });
}

void soak_caller::on_answer(const error_code& error) {
    if (error) {
        on_cut(error, caller_end::broken, static_cast<int>(answer_->get().result_int()));
        return;
    }
    on_end(judge_answer());
}

void soak_caller::on_cut(const error_code& error, caller_end how, int status) {
    const bool gave_up = error == boost::beast::error::timeout;
    on_end({gave_up ? caller_end::left : how, status, false});
}

soak_caller::result soak_caller::judge_answer() {
    const auto& answer = answer_->get();
    const auto status = static_cast<int>(answer.result_int());
    const bool keeps_open = answer.keep_alive();
    if (promises_not_run(status)) {
        if (answer.find(http::field::retry_after) == answer.end()) {
            record_.violate("a refusal says when to come back", request_.id);
        }
        return {caller_end::refused, status, keeps_open};
    }
    if (status != 200) {
        return {caller_end::failed, status, keeps_open};
    }
    const std::string seal(answer["X-Response-Seal"]);
    const auto expected =
        is_stream(request_.what) ? whole_stream(request_.id) : service_answer(request_.id);
    if (!record_.is_answer_of(request_.id, seal) || answer.body() != expected ||
        answer["X-Request-Id"] != request_.id) {
        record_.violate("a success is the whole answer of its request",
                        request_.id + " seal " + seal + " got " +
                            std::to_string(answer.body().size()) + " bytes");
    }
    return {caller_end::whole, status, keeps_open};
}

void soak_caller::on_end(const result& end) {
    note(end);
    const auto pause = duration{static_cast<duration::rep>(
        random_.below(static_cast<std::uint64_t>(longest_pause.count())))};
    after(pause, end.keeps_open ? &soak_caller::ask : &soak_caller::connect);
}

void soak_caller::note(const result& end) {
    const auto now = clock_.now();
    const auto took = now - request_.sent;
    record_.on_end(request_.id, end.how, end.status, now);
    if (!is_calm_since(request_.sent)) {
        return;
    }
    if (end.how == caller_end::closed && record_.runs_of(request_.id) > 0) {
        record_.violate("no request that was passed on ends without an answer", request_.id);
    }
    const bool is_denied = end.status >= 400 && end.status < 500 && !promises_not_run(end.status);
    if (is_denied && request_.key == key_state::valid) {
        record_.violate("denies no proper request",
                        request_.id + " status " + std::to_string(end.status));
    }
    late_.open += took > route_timeout ? 1 : 0;
    late_.open_half_a_second_later += took > route_timeout + answer_slack ? 1 : 0;
}

} // namespace camphorgrade::soak
