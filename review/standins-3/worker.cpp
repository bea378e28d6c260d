#include "worker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {

namespace {

using json = nlohmann::json;

constexpr std::int64_t heartbeat_ms = 1'200;
constexpr std::int64_t restart_retry_ms = 50;
constexpr const char* seal = "3e1b.07.5a2.600.0.c9f2a4d1";

std::int64_t unix_ms() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

std::string chunk(const std::string& bytes) {
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

} // namespace

worker::worker(worker_settings settings, record& log)
    : settings_(std::move(settings)), record_(log), born_ms_(unix_ms()) {}

bool worker::start() {
    server_ = server::start(settings_.address, [this](connection& caller, http_message& request) {
        return on_request(caller, request);
    });
    return server_ != nullptr;
}

void worker::crash() {
    if (is_down_.exchange(true)) {
        return;
    }
    record_.line(settings_.id + " crashes because of a request");
    server_->stop();
    std::thread([this] {
        sleep_ms(settings_.restart_ms);
        {
            const std::lock_guard lock(mutex_);
            adapters_.clear();
            sequence_ = 0;
            highest_fence_ = 0;
            born_ms_ = unix_ms();
        }
        while (!start()) {
            sleep_ms(restart_retry_ms);
        }
        is_down_ = false;
    }).detach();
}

std::string worker::models() {
    const auto now = now_ms();
    json held = json::array();
    for (const auto& [name, each] : adapters_) {
        if (each.ready_at_ms <= now) {
            held.push_back(name + '@' + std::to_string(each.version));
        }
    }
    return json::array({{{"name", settings_.model}, {"version", 1}, {"adapters", held}}}).dump();
}

std::string worker::registration() {
    const std::lock_guard lock(mutex_);
    json out{{"service", settings_.service},
             {"address", settings_.address.text()},
             {"zone", settings_.zone},
             {"version", "v1"},
             {"slots", settings_.is_engine ? 64 : 6},
             {"state", "ready"},
             {"cold_left_ms", 0},
             {"sequence", sequence_},
             {"born", born_ms_}};
    if (settings_.is_engine) {
        out["stage"] = "colocated";
        out["models"] = json::parse(models());
    }
    return out.dump();
}

void worker::register_at(store& platform) {
    const auto key = "servers/" + settings_.id;
    platform.put(key, registration());
    std::thread([this, &platform, key] {
        while (!has_crashed_) {
            sleep_ms(heartbeat_ms);
            if (!is_down_) {
                platform.put(key, registration());
            }
        }
    }).detach();
}

void worker::set_newest(const std::string& adapter, std::uint64_t version) {
    const std::lock_guard lock(mutex_);
    newest_[adapter] = version;
}

void worker::hold(const std::string& adapter, std::uint64_t version) {
    const std::lock_guard lock(mutex_);
    adapters_[adapter] = {version, now_ms()};
}

std::string worker::report() {
    const std::lock_guard lock(mutex_);
    json coming = json::array();
    for (const auto& [name, each] : adapters_) {
        if (each.ready_at_ms > now_ms()) {
            coming.push_back(settings_.model + '/' + name + '@' + std::to_string(each.version));
        }
    }
    return json{{"stage", "colocated"}, {"models", json::parse(models())},
                {"busy", false},        {"sequence", sequence_},
                {"waiting", 0},         {"running", 0},
                {"kv_used", 0},         {"kv_total", 266'018},
                {"handles", 0},         {"coming", coming},
                {"born", born_ms_}}
        .dump();
}

int worker::order(const std::string& body) {
    const std::lock_guard lock(mutex_);
    const auto asked = json::parse(body);
    const auto fence = asked.value("fencing_token", 0ULL);
    if (fence < highest_fence_) {
        return 412;
    }
    highest_fence_ = fence;
    if (asked.contains("expected") && asked["expected"].get<std::uint64_t>() != sequence_) {
        return 409;
    }
    const auto adapter = asked.value("adapter", std::string{});
    if (adapter.empty() || asked.value("model", std::string{}) != settings_.model) {
        return 400; // these workers hold their one model from their start
    }
    const auto is_load = asked.value("operation", std::string{}) == "load";
    const auto newest = newest_.count(adapter) != 0 ? newest_[adapter] : 1;
    const auto status = is_load ? load(adapter, asked.value("version", newest)) : unload(adapter);
    record_.line(settings_.id + " order " + body + " -> " + std::to_string(status) + ", holds " +
                 std::to_string(adapters_.size()) + " adapters");
    return status;
}

int worker::load(const std::string& adapter, std::uint64_t version) {
    const auto found = adapters_.find(adapter);
    if (found != adapters_.end() && found->second.version == version) {
        return 200;
    }
    ++sequence_;
    adapters_[adapter] = {version, now_ms() + settings_.load_ms};
    const auto mb =
        settings_.model_mb + settings_.adapter_mb * static_cast<double>(adapters_.size());
    if (mb > settings_.capacity_mb || adapters_.size() > settings_.adapter_slots) {
        record_.line(settings_.id + " CRASHES: ordered to hold " + std::to_string(mb) + " MB of " +
                     std::to_string(settings_.capacity_mb) + ", " +
                     std::to_string(adapters_.size()) + " adapters of " +
                     std::to_string(settings_.adapter_slots));
        has_crashed_ = true;
    }
    return 202;
}

int worker::unload(const std::string& adapter) {
    if (adapters_.erase(adapter) != 0) {
        ++sequence_;
    }
    return 200;
}

bool worker::on_request(connection& caller, http_message& request) {
    if (has_crashed_) {
        return false;
    }
    const auto path = request.path();
    const auto expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != settings_.id) {
        return caller.write(response_text(421, {{"X-Instance-Id", settings_.id}}, ""));
    }
    if (path == "/health") {
        return caller.write(response_text(200, {{"X-Instance-Id", settings_.id}}, ""));
    }
    const header_list json_type{{"Content-Type", "application/json"}};
    if (path == "/camphorgrade/report") {
        return caller.write(response_text(200, json_type, report()));
    }
    if (path == "/camphorgrade/order") {
        const auto status = order(request.body);
        return !has_crashed_ && caller.write(response_text(status, json_type, "{}"));
    }
    return run(caller, request);
}

bool worker::holds(const http_message& request, std::uint64_t& version) {
    const std::lock_guard lock(mutex_);
    const auto asked = request.header("X-Model");
    const auto slash = asked.find('/');
    if (slash == std::string::npos) {
        return asked == settings_.model;
    }
    const auto found = adapters_.find(asked.substr(slash + 1));
    if (found == adapters_.end() || found->second.ready_at_ms > now_ms()) {
        return false;
    }
    version = found->second.version;
    const auto expected = request.header("X-Expect-Version");
    return expected.empty() || std::strtoull(expected.c_str(), nullptr, 10) == version;
}

bool worker::run(connection& caller, const http_message& request) {
    const auto id = request.header("X-Request-Id");
    std::uint64_t version = 0;
    if (settings_.is_engine && !holds(request, version)) {
        return caller.write(response_text(421, {{"X-Request-Id", id}}, ""));
    }
    if (ran_) {
        ran_({settings_.id, request, version, now_ms()});
    }
    if (is_crashing_ && is_crashing_(request)) {
        crash();
        return false;
    }
    const auto& prefix = settings_.stream_prefix;
    const bool is_stream = !prefix.empty() && request.path().find(prefix) == 0;
    if (settings_.is_engine || is_stream) {
        return stream(caller, request);
    }
    sleep_ms(settings_.work_ms);
    const header_list headers{{"X-Request-Id", id},
                              {"X-Response-Seal", seal},
                              {"Keep-Alive", "timeout=" + std::to_string(settings_.keep_alive_s)}};
    return caller.write(response_text(200, headers, "done by " + settings_.id + " for " + id));
}

bool worker::stream(connection& caller, const http_message& request) {
    const auto id = request.header("X-Request-Id");
    const auto last = std::atoi(request.header("Last-Event-Id").c_str());
    std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + id +
        "\r\nX-Response-Seal: " + seal + "\r\nX-Weight-Versions: 1\r\nKeep-Alive: timeout=" +
        std::to_string(settings_.keep_alive_s) + "\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (!caller.write(head)) {
        return false;
    }
    for (int event = last + 1; event <= settings_.events; ++event) {
        sleep_ms(settings_.event_pause_ms);
        const auto text = "id: " + std::to_string(event) + "\ndata: " + settings_.id + ' ' + id +
                          ' ' + std::to_string(event) + "\n\n";
        if (has_crashed_ || !caller.write(chunk(text))) {
            return false;
        }
    }
    return caller.write("0\r\n\r\n");
}

} // namespace review
