#include "timed_backend.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace camphorgrade::soak {

namespace {

constexpr duration event_interval{200};
constexpr int slots = 500;

std::string header_value(const edge::caller_request& request, const std::string& name) {
    return find_header(request.headers, name).value_or("");
}

std::uint64_t unix_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

struct timed_backend::work {
    work(boost::asio::io_context& loop, std::shared_ptr<edge::caller_exchange> from)
        : exchange(std::move(from)), timer(loop) {}

    std::shared_ptr<edge::caller_exchange> exchange;
    boost::asio::steady_timer timer;
    std::string request;
    time_point ends;
    bool is_stream = false;
    int next_event = 1;
};

std::string timed_body(const std::string& request) {
    return "result of " + request + '\n';
}

timed_backend::timed_backend(boost::asio::io_context& loop, const clock& clock, std::string id,
                             std::string service)
    : loop_(loop), clock_(clock), server_(loop, clock, *this), id_(std::move(id)),
      service_(std::move(service)) {}

std::string timed_backend::registration(const std::string& address) const {
    const nlohmann::json out{{"service", service_}, {"address", address}, {"zone", "one"},
                             {"version", "1"},      {"state", "ready"},   {"slots", slots},
                             {"cold_left_ms", 0},   {"sequence", 1},      {"born", unix_ms()}};
    return out.dump();
}

const timed_run* timed_backend::run_of(const std::string& request) const {
    const auto found = runs_.find(request);
    return found == runs_.end() ? nullptr : &found->second;
}

http_headers timed_backend::headers_of(const work& current) const {
    http_headers out{{"Content-Type", current.is_stream ? "text/event-stream" : "text/plain"},
                     {"X-Request-Id", current.request},
                     {"X-Response-Seal", current.request + '.' + id_}};
    if (request_limit) {
        out.push_back({"Server-Limit", std::to_string(*request_limit)});
    }
    return out;
}

void timed_backend::on_request(std::shared_ptr<edge::caller_exchange> exchange) {
    const auto& request = exchange->request();
    auto current = std::make_shared<work>(loop_, exchange);
    current->request = header_value(request, "X-Request-Id");
    current->is_stream = request.target.rfind("/stream/", 0) == 0;
    current->ends = clock_.now() + duration{std::stoll(header_value(request, work_header))};
    runs_.try_emplace(current->request, timed_run{clock_.now(), std::nullopt});
    exchange->on_disconnect([this, current] {
        current->timer.cancel();
        runs_.at(current->request).ended = clock_.now();
    });
    if (current->is_stream) {
        exchange->begin({200, headers_of(*current)}, std::nullopt);
    }
    advance(current);
}

void timed_backend::advance(const std::shared_ptr<work>& current) {
    const auto left = current->ends - clock_.now();
    if (left <= duration::zero()) {
        complete(*current);
        return;
    }
    if (current->is_stream) {
        const auto number = std::to_string(current->next_event++);
        current->exchange->write("id: " + number + "\ndata: " + current->request + "\n\n");
    }
    current->timer.expires_after(current->is_stream ? std::min(event_interval, left) : left);
    current->timer.async_wait([this, current](const boost::system::error_code& error) {
        if (!error) {
            advance(current);
        }
    });
}

void timed_backend::complete(work& current) {
    runs_.at(current.request).ended = clock_.now();
    if (current.is_stream) {
        current.exchange->finish();
    } else {
        current.exchange->answer({200, headers_of(current)}, timed_body(current.request));
    }
}

} // namespace camphorgrade::soak
