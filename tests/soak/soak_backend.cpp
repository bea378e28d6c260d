#include "soak_backend.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace camphorgrade::soak {

namespace {

using json = nlohmann::json;

constexpr std::string_view health_path = "/health";
constexpr std::size_t adapter_slots = 3;
constexpr std::size_t engine_request_slots = 64;
constexpr std::size_t service_request_slots = 6;
constexpr duration load_duration{120};
constexpr duration event_interval{15};
constexpr duration service_duration{20};
constexpr const char* model_name = "base";

std::string header_value(const edge::caller_request& request, const std::string& name) {
    return find_header(request.headers, name).value_or("");
}

duration requested_deadline(const edge::caller_request& request) {
    const auto text = header_value(request, "X-Deadline-Ms");
    return duration{text.empty() ? 0 : std::stoll(text)};
}

std::uint64_t unix_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

soak_backend::soak_backend(boost::asio::io_context& loop, const clock& clock, random_source& random,
                           ledger& request_ledger, std::string name, std::string service,
                           bool is_engine)
    : loop_(loop), clock_(clock), random_(random), ledger_(request_ledger), name_(std::move(name)),
      service_(std::move(service)), is_engine_(is_engine),
      server_(loop, random.next(), *this, request_ledger.responses()) {
    restart(true);
}

void soak_backend::restart(bool assigns_new_id) {
    ++incarnation_;
    started_unix_ms_ = std::max(started_unix_ms_ + 1, unix_ms());
    if (assigns_new_id) {
        id_ = name_ + '-' + std::to_string(incarnation_);
    }
    sequence_ = 0;
    highest_fencing_token_ = 0;
    order_holders_.clear();
    adapters_.clear();
    for (auto& [number, each] : runs_) {
        each.exchange->abort();
    }
    runs_.clear();
}

std::string soak_backend::registration(const std::string& address, const std::string& state) const {
    json out{{"service", service_},
             {"address", address},
             {"zone", "one"},
             {"version", software_version_of(id_)},
             {"state", state},
             {"slots", is_engine_ ? engine_request_slots : service_request_slots},
             {"cold_left_ms", 0},
             {"sequence", 1},
             {"born", started_unix_ms_}};
    if (is_engine_) {
        out["models"] = {{{"name", model_name}, {"version", 1}, {"adapters", json::array()}}};
    }
    return out.dump();
}

void soak_backend::on_invalid_request(const std::string& reason) {
    ledger_.report_violation("gateways and agents send valid requests", id_ + ": " + reason);
}

void soak_backend::on_late_body(const edge::caller_request& request) {
    ledger_.check_late_body(header_value(request, "X-Request-Id"), request.body);
}

response_faults soak_backend::faults_for(const edge::caller_request& request) const {
    const bool is_question =
        request.target.starts_with("/camphorgrade/") || request.target == health_path;
    return is_question ? response_faults{} : faults.responses;
}

void soak_backend::on_request(std::shared_ptr<edge::caller_exchange> exchange, bool has_body) {
    const auto& request = exchange->request();
    if (request.target == "/camphorgrade/report") {
        respond_state(*exchange);
        return;
    }
    if (request.target == health_path) {
        exchange->answer({200, {{"X-Instance-Id", id_}}}, "");
        return;
    }
    if (request.target == "/camphorgrade/order") {
        handle_order(*exchange);
        return;
    }
    ledger_.on_arrival(header_value(request, "X-Request-Id"), id_, service_, clock_.now());
    const auto model = header_value(request, "X-Model");
    const auto adapter = model.substr(std::min(model.size(), model.find('/') + 1));
    if (!try_refuse(*exchange, adapter)) {
        start_run(std::move(exchange), adapter, has_body);
    }
}

bool soak_backend::try_refuse(edge::caller_exchange& exchange, const std::string& adapter) {
    const auto& request = exchange.request();
    if (header_value(request, "X-Expect-Instance") != id_) {
        refuse_not_executed(exchange, 421);
        return true;
    }
    if (runs_.size() >= (is_engine_ ? engine_request_slots : service_request_slots)) {
        refuse_not_executed(exchange, 503);
        return true;
    }
    if (!is_engine_) {
        return false;
    }
    const auto found = adapters_.find(adapter);
    const auto version = header_value(request, "X-Expect-Version");
    const bool is_loaded = found != adapters_.end() && !found->second.is_loading;
    if (is_loaded && found->second.is_draining) {
        refuse_not_executed(exchange, 503);
        return true;
    }
    if (!is_loaded || (!version.empty() && std::stoull(version) != found->second.version)) {
        refuse_not_executed(exchange, 421);
        return true;
    }
    return false;
}

http_headers soak_backend::with_limit(http_headers headers) const {
    if (faults.request_limit) {
        headers.push_back({"Server-Limit", std::to_string(*faults.request_limit)});
    }
    return headers;
}

void soak_backend::refuse_not_executed(edge::caller_exchange& exchange, int status) const {
    const auto request = header_value(exchange.request(), "X-Request-Id");
    exchange.answer({status, with_limit({{"X-Request-Id", request}, {"X-Not-Executed", "1"}})}, {});
}

void soak_backend::record_run(const edge::caller_request& request, bool has_body) {
    server_run out;
    out.request = header_value(request, "X-Request-Id");
    out.server = id_;
    out.service = service_;
    out.method = request.method;
    out.target = request.target;
    out.body = request.body;
    out.has_body = has_body;
    out.account = header_value(request, "X-Tenant");
    out.deadline = requested_deadline(request);
    out.has_key = !header_value(request, "Authorization").empty();
    out.at = clock_.now();
    ledger_.on_run(out);
}

void soak_backend::start_run(std::shared_ptr<edge::caller_exchange> exchange,
                             const std::string& adapter, bool has_body) {
    const auto& request = exchange->request();
    record_run(request, has_body);
    const auto number = next_run_++;
    auto& started = runs_[number];
    started.request = header_value(request, "X-Request-Id");
    started.adapter = adapter;
    started.seal = started.request + '.' + id_ + '.' + std::to_string(number);
    draw_faults(started);
    started.crashes_server =
        header_value(request, "X-Prompt-Prefix").find(crashing_part) != std::string::npos;
    const auto last_event_id = header_value(request, "Last-Event-Id");
    started.next_event = last_event_id.empty() ? 1 : std::stoi(last_event_id) + 1;
    started.timer = std::make_unique<boost::asio::steady_timer>(loop_);
    started.exchange = std::move(exchange);
    started.exchange->on_disconnect([this, number, incarnation = incarnation_] {
        if (incarnation == incarnation_) {
            end_run(number);
        }
    });
    if (is_engine_ && !started.crashes_server) {
        started.exchange->begin({200, response_headers(started, "text/event-stream")},
                                std::nullopt);
    }
    schedule_step(number, is_engine_ ? event_interval : service_duration);
}

void soak_backend::draw_faults(run& started) {
    started.drops_response = random_.unit() < faults.dropped_response_share;
    if (random_.unit() < faults.truncated_response_share) {
        started.last_event = static_cast<int>(random_.below(stream_event_count));
    }
    if (random_.unit() < faults.responses.wrong_id_share) {
        auto& event = random_.below(2) == 0 ? started.repeated_event : started.omitted_event;
        event = 1 + static_cast<int>(random_.below(stream_event_count - 1));
    }
}

http_headers soak_backend::response_headers(const run& current, const char* type) const {
    return with_limit({{"Content-Type", type},
                       {"X-Request-Id", current.request},
                       {"X-Response-Seal", current.seal}});
}

void soak_backend::schedule_step(std::uint64_t number, duration delay) {
    auto& timer = *runs_.at(number).timer;
    timer.expires_after(delay * faults.slowdown_factor);
    timer.async_wait(
        [this, number, incarnation = incarnation_](const boost::system::error_code& error) {
            if (!error && incarnation == incarnation_ && runs_.contains(number)) {
                advance_run(number);
            }
        });
}

void soak_backend::advance_run(std::uint64_t number) {
    auto& current = runs_.at(number);
    if (current.crashes_server) {
        ledger_.crashes().on_crash(clock_.now());
        crashed_();
        return;
    }
    const bool is_truncated =
        current.last_event < stream_event_count && current.next_event > current.last_event;
    if (current.drops_response || is_truncated) {
        current.exchange->abort();
        end_run(number);
        return;
    }
    if (!is_engine_) {
        current.exchange->answer({200, response_headers(current, "text/plain")},
                                 service_response_body(current.seal));
        end_run(number);
        return;
    }
    if (current.next_event > stream_event_count) {
        current.exchange->finish();
        end_run(number);
        return;
    }
    write_event(current);
    schedule_step(number, event_interval);
}

void soak_backend::write_event(run& current) {
    const auto event = current.next_event++;
    if (event == current.omitted_event) {
        ledger_.responses().on_omitted_event(current.seal, event);
        return;
    }
    const int copies = event == current.repeated_event ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        current.exchange->write(stream_event(current.seal, event));
    }
}

void soak_backend::end_run(std::uint64_t number) {
    const auto found = runs_.find(number);
    if (found == runs_.end()) {
        return;
    }
    const auto adapter = found->second.adapter;
    runs_.erase(found);
    const auto found_adapter = adapters_.find(adapter);
    if (found_adapter != adapters_.end() && found_adapter->second.is_draining &&
        !is_in_use(adapter)) {
        adapters_.erase(found_adapter);
    }
}

bool soak_backend::is_in_use(const std::string& adapter) const {
    return std::any_of(runs_.begin(), runs_.end(),
                       [&](const auto& each) { return each.second.adapter == adapter; });
}

void soak_backend::respond_state(edge::caller_exchange& exchange) const {
    json adapters = json::array();
    json loading = json::array();
    for (const auto& [name, each] : adapters_) {
        const auto versioned = name + '@' + std::to_string(each.version);
        if (each.is_loading) {
            loading.push_back(std::string(model_name) + '/' + versioned);
        } else {
            adapters.push_back(versioned);
        }
    }
    const json out{{"stage", "colocated"},
                   {"models", {{{"name", model_name}, {"version", 1}, {"adapters", adapters}}}},
                   {"coming", loading},
                   {"busy", false},
                   {"sequence", sequence_},
                   {"waiting", 0},
                   {"running", runs_.size()},
                   {"kv_used", 0},
                   {"kv_total", 250'000},
                   {"born", started_unix_ms_}};
    exchange.answer({200, {{"Content-Type", "application/json"}}}, out.dump());
}

void soak_backend::handle_order(edge::caller_exchange& exchange) {
    const auto& request = exchange.request();
    const auto parsed_order = json::parse(request.body, nullptr, false);
    if (!parsed_order.is_object() || !parsed_order.contains("holder") ||
        !parsed_order.contains("fencing_token")) {
        ledger_.report_violation("agents send well-formed orders", request.body);
        exchange.answer({400, {}}, {});
        return;
    }
    const auto fencing_token = parsed_order["fencing_token"].get<std::uint64_t>();
    int status = 0;
    if (header_value(request, "X-Expect-Instance") != id_) {
        status = 421;
    } else if (fencing_token < highest_fencing_token_) {
        status = 412;
    } else if (parsed_order.contains("expected") && parsed_order["expected"] != sequence_) {
        status = 409;
    } else {
        highest_fencing_token_ = fencing_token;
        order_holders_.insert(parsed_order["holder"].get<std::string>());
        status = execute_order(parsed_order["operation"], parsed_order.value("adapter", ""),
                               parsed_order.value("version", newest_version));
    }
    if (order_holders_.size() > 1) {
        ledger_.report_violation("a single process sends orders to an engine", id_);
    }
    exchange.answer({status, {}}, {});
}

int soak_backend::execute_order(const std::string& operation, const std::string& adapter,
                                std::uint64_t version) {
    ++sequence_;
    return operation == "load" ? load_adapter(adapter, version) : unload_adapter(adapter);
}

int soak_backend::load_adapter(const std::string& adapter, std::uint64_t version) {
    const auto found = adapters_.find(adapter);
    if (found != adapters_.end() && found->second.version == version) {
        return 200;
    }
    if (found == adapters_.end() && adapters_.size() >= adapter_slots) {
        ledger_.report_violation("agents load no more adapters than an engine can hold",
                                 id_ + ' ' + adapter);
    }
    auto& slot = adapters_[adapter];
    slot.is_loading = found == adapters_.end();
    slot.version = slot.is_loading ? version : slot.version;
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_); // kept alive by its own wait
    timer->expires_after(load_duration);
    timer->async_wait(
        [this, timer, adapter, version, incarnation = incarnation_](const auto& error) {
            if (!error) {
                finish_load(adapter, version, incarnation);
            }
        });
    return 202;
}

void soak_backend::finish_load(const std::string& adapter, std::uint64_t version,
                               std::uint64_t incarnation) {
    const auto found = adapters_.find(adapter);
    if (incarnation == incarnation_ && found != adapters_.end()) {
        found->second.is_loading = false;
        found->second.version = version;
    }
}

int soak_backend::unload_adapter(const std::string& adapter) {
    const auto found = adapters_.find(adapter);
    if (found == adapters_.end()) {
        return 200;
    }
    if (is_in_use(adapter)) {
        found->second.is_draining = true;
        return 202;
    }
    adapters_.erase(found);
    return 200;
}

} // namespace camphorgrade::soak
