#include "soak_backend.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace camphorgrade::soak {

namespace {

using json = nlohmann::json;

constexpr std::size_t adapter_places = 3;
constexpr std::size_t engine_slots = 64;
constexpr std::size_t service_slots = 6;
constexpr duration load_time{120};
constexpr duration event_pause{15};
constexpr duration service_work{20};
constexpr const char* model_name = "base";

std::string header_of(const edge::caller_request& request, const std::string& name) {
    return find_header(request.headers, name).value_or("");
}

duration deadline_of(const edge::caller_request& request) {
    const auto text = header_of(request, "X-Deadline-Ms");
    return duration{text.empty() ? 0 : std::stoll(text)};
}

std::uint64_t unix_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

void answer_not_run(edge::caller_exchange& exchange, int status) {
    exchange.answer({status,
                     {{"X-Request-Id", header_of(exchange.request(), "X-Request-Id")},
                      {"X-Not-Executed", "1"}}},
                    {});
}

} // namespace

std::string service_answer(const std::string& request) {
    std::string out;
    for (int i = 0; i < 20; ++i) {
        out += request + " line " + std::to_string(i) + '\n';
    }
    return out;
}

std::string stream_event(const std::string& request, int number) {
    return "id: " + std::to_string(number) + "\ndata: " + request + " part " +
           std::to_string(number) + "\n\n";
}

soak_backend::soak_backend(boost::asio::io_context& loop, const clock& clock, random_source& random,
                           ledger& record, std::string name, std::string service, bool is_engine)
    : loop_(loop), clock_(clock), random_(random), record_(record), name_(std::move(name)),
      service_(std::move(service)), is_engine_(is_engine), server_(loop, clock, *this) {
    restart(true);
}

void soak_backend::restart(bool renames) {
    ++life_;
    born_ = std::max(born_ + 1, unix_ms());
    if (renames) {
        id_ = name_ + '-' + std::to_string(life_);
    }
    sequence_ = 0;
    fence_ = 0;
    holders_.clear();
    places_.clear();
    for (auto& [number, each] : runs_) {
        each.exchange->abort();
    }
    runs_.clear();
}

std::string soak_backend::registration(const std::string& address, const std::string& state) const {
    json out{{"service", service_}, {"address", address},
             {"zone", "one"},       {"version", "1"},
             {"state", state},      {"slots", is_engine_ ? engine_slots : service_slots},
             {"cold_left_ms", 0},   {"sequence", 1},
             {"born", born_}};
    if (is_engine_) {
        out["models"] = {{{"name", model_name}, {"version", 1}, {"adapters", json::array()}}};
    }
    return out.dump();
}

void soak_backend::on_bad_request(int status) {
    constexpr int too_slow = 408; // a link that holds bytes makes a proper request slow
    if (status != too_slow) {
        record_.violate("sends proper requests", id_ + " refused with " + std::to_string(status));
    }
}

void soak_backend::on_request(std::shared_ptr<edge::caller_exchange> exchange) {
    const auto& request = exchange->request();
    if (request.target == "/camphorgrade/report") {
        report(*exchange);
        return;
    }
    if (request.target == "/camphorgrade/order") {
        order(*exchange);
        return;
    }
    record_.on_arrival(header_of(request, "X-Request-Id"), service_, clock_.now());
    const auto model = header_of(request, "X-Model");
    const auto adapter = model.substr(std::min(model.size(), model.find('/') + 1));
    if (!refuse(*exchange, adapter)) {
        begin(std::move(exchange), adapter);
    }
}

bool soak_backend::refuse(edge::caller_exchange& exchange, const std::string& adapter) {
    const auto& request = exchange.request();
    if (header_of(request, "X-Expect-Instance") != id_) {
        answer_not_run(exchange, 421);
        return true;
    }
    if (runs_.size() >= (is_engine_ ? engine_slots : service_slots)) {
        answer_not_run(exchange, 503);
        return true;
    }
    if (!is_engine_) {
        return false;
    }
    const auto found = places_.find(adapter);
    const auto version = header_of(request, "X-Expect-Version");
    const bool is_there = found != places_.end() && !found->second.is_loading;
    if (is_there && found->second.is_leaving) {
        answer_not_run(exchange, 503);
        return true;
    }
    if (!is_there || (!version.empty() && std::stoull(version) != found->second.version)) {
        answer_not_run(exchange, 421);
        return true;
    }
    return false;
}

void soak_backend::record_run(const edge::caller_request& request) {
    server_run out;
    out.request = header_of(request, "X-Request-Id");
    out.server = id_;
    out.service = service_;
    out.method = request.method;
    out.target = request.target;
    out.body = request.body;
    out.account = header_of(request, "X-Tenant");
    out.deadline = deadline_of(request);
    out.has_key = !header_of(request, "Authorization").empty();
    out.at = clock_.now();
    record_.on_run(out);
}

void soak_backend::begin(std::shared_ptr<edge::caller_exchange> exchange,
                         const std::string& adapter) {
    const auto& request = exchange->request();
    record_run(request);
    const auto number = next_run_++;
    auto& added = runs_[number];
    added.request = header_of(request, "X-Request-Id");
    added.adapter = adapter;
    added.seal = added.request + '.' + id_ + '.' + std::to_string(number);
    added.is_lost = random_.unit() < faults.lost_answers;
    if (random_.unit() < faults.broken_answers) {
        added.last_event = static_cast<int>(random_.below(stream_events));
    }
    const auto after = header_of(request, "Last-Event-Id");
    added.next_event = after.empty() ? 1 : std::stoi(after) + 1;
    record_.on_answer(added.request, added.seal);
    added.timer = std::make_unique<boost::asio::steady_timer>(loop_);
    added.exchange = std::move(exchange);
    added.exchange->on_disconnect([this, number, life = life_] {
        if (life == life_) {
            end(number);
        }
    });
    if (is_engine_) {
        added.exchange->begin({200, head_of(added, "text/event-stream")}, std::nullopt);
    }
    schedule(number, is_engine_ ? event_pause : service_work);
}

http_headers soak_backend::head_of(const run& of, const char* type) const {
    return {{"Content-Type", type}, {"X-Request-Id", of.request}, {"X-Response-Seal", of.seal}};
}

void soak_backend::schedule(std::uint64_t number, duration after) {
    auto& timer = *runs_.at(number).timer;
    timer.expires_after(after * faults.slowness);
    timer.async_wait([this, number, life = life_](const boost::system::error_code& error) {
        if (!error && life == life_ && runs_.contains(number)) {
            step(number);
        }
    });
}

void soak_backend::step(std::uint64_t number) {
    auto& of = runs_.at(number);
    const bool is_cut = of.last_event < stream_events && of.next_event > of.last_event;
    if (of.is_lost || is_cut) {
        of.exchange->abort();
        end(number);
        return;
    }
    if (!is_engine_) {
        of.exchange->answer({200, head_of(of, "text/plain")}, service_answer(of.request));
        end(number);
        return;
    }
    if (of.next_event > stream_events) {
        of.exchange->finish();
        end(number);
        return;
    }
    of.exchange->write(stream_event(of.request, of.next_event++));
    schedule(number, event_pause);
}

void soak_backend::end(std::uint64_t number) {
    const auto found = runs_.find(number);
    if (found == runs_.end()) {
        return;
    }
    const auto adapter = found->second.adapter;
    runs_.erase(found);
    const auto held = places_.find(adapter);
    if (held != places_.end() && held->second.is_leaving && !is_used(adapter)) {
        places_.erase(held);
    }
}

bool soak_backend::is_used(const std::string& adapter) const {
    return std::any_of(runs_.begin(), runs_.end(),
                       [&](const auto& each) { return each.second.adapter == adapter; });
}

void soak_backend::report(edge::caller_exchange& exchange) const {
    json adapters = json::array();
    json coming = json::array();
    for (const auto& [name, each] : places_) {
        const auto versioned = name + '@' + std::to_string(each.version);
        if (each.is_loading) {
            coming.push_back(std::string(model_name) + '/' + versioned);
        } else {
            adapters.push_back(versioned);
        }
    }
    const json out{{"stage", "colocated"},
                   {"models", {{{"name", model_name}, {"version", 1}, {"adapters", adapters}}}},
                   {"coming", coming},
                   {"busy", false},
                   {"sequence", sequence_},
                   {"waiting", 0},
                   {"running", runs_.size()},
                   {"kv_used", 0},
                   {"kv_total", 250'000},
                   {"born", born_}};
    exchange.answer({200, {{"Content-Type", "application/json"}}}, out.dump());
}

void soak_backend::order(edge::caller_exchange& exchange) {
    const auto& request = exchange.request();
    const auto asked = json::parse(request.body, nullptr, false);
    if (!asked.is_object() || !asked.contains("holder") || !asked.contains("fencing_token")) {
        record_.violate("gives readable orders", request.body);
        exchange.answer({400, {}}, {});
        return;
    }
    const auto fence = asked["fencing_token"].get<std::uint64_t>();
    int status = 0;
    if (header_of(request, "X-Expect-Instance") != id_) {
        status = 421;
    } else if (fence < fence_) {
        status = 412;
    } else if (asked.contains("expected") && asked["expected"] != sequence_) {
        status = 409;
    } else {
        fence_ = fence;
        holders_.insert(asked["holder"].get<std::string>());
        status = carry_out(asked["operation"], asked.value("adapter", ""),
                           asked.value("version", newest_version));
    }
    if (holders_.size() > 1) {
        record_.violate("one process orders an engine", id_);
    }
    exchange.answer({status, {}}, {});
}

int soak_backend::carry_out(const std::string& operation, const std::string& adapter,
                            std::uint64_t version) {
    ++sequence_;
    return operation == "load" ? load(adapter, version) : unload(adapter);
}

int soak_backend::load(const std::string& adapter, std::uint64_t version) {
    const auto found = places_.find(adapter);
    if (found != places_.end() && found->second.version == version) {
        return 200;
    }
    if (found == places_.end() && places_.size() >= adapter_places) {
        record_.violate("loads no more than an engine holds", id_ + ' ' + adapter);
    }
    auto& taken = places_[adapter];
    taken.is_loading = found == places_.end();
    taken.version = taken.is_loading ? version : taken.version;
    auto timer = std::make_shared<boost::asio::steady_timer>(loop_); // lives as long as its wait
    timer->expires_after(load_time);
    timer->async_wait([this, timer, adapter, version, life = life_](const auto& error) {
        if (!error) {
            finish_load(adapter, version, life);
        }
    });
    return 202;
}

void soak_backend::finish_load(const std::string& adapter, std::uint64_t version,
                               std::uint64_t life) {
    const auto found = places_.find(adapter);
    if (life == life_ && found != places_.end()) {
        found->second.is_loading = false;
        found->second.version = version;
    }
}

int soak_backend::unload(const std::string& adapter) {
    const auto found = places_.find(adapter);
    if (found == places_.end()) {
        return 200;
    }
    if (is_used(adapter)) {
        found->second.is_leaving = true;
        return 202;
    }
    places_.erase(found);
    return 200;
}

} // namespace camphorgrade::soak
