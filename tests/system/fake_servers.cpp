#include "fake_servers.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace camphorgrade::testing {

namespace {

using nlohmann::json;

std::string fake_token(const std::string& adapter, const std::string& prompt,
                       std::uint64_t number) {
    return adapter + ":" + prompt + ":" + std::to_string(number) + " ";
}

} // namespace

std::string fake_text(const std::string& adapter, const std::string& prompt,
                      std::uint64_t max_tokens) {
    std::string text;
    for (std::uint64_t i = 0; i < max_tokens; ++i) {
        text += fake_token(adapter, prompt, i);
    }
    return text;
}

void fake_servers::on_call(const node_id& node, const call_backend& call) {
    auto& target = servers_[call.endpoint];
    if (target.down) {
        cluster_.post_later(
            node,
            call_progressed{call.service, call.call, call_failure{call_failure_kind::not_sent}},
            duration{1});
        return;
    }
    open_[{node, call.call.value()}] = {call.service, call.endpoint, ""};
    const std::string& path = call.request.path;
    if (path == "/v1/load_lora_adapter") {
        order(node, call, true);
    } else if (path == "/v1/unload_lora_adapter") {
        order(node, call, false);
    } else if (path == "/v1/models") {
        json data = json::array();
        for (const auto& each : target.adapters) {
            data.push_back({{"id", each}, {"parent", "base"}});
        }
        answer(node, call, 200, json{{"data", data}}.dump(), duration{1});
    } else if (path == "/v1/completions") {
        complete(node, call);
    } else if (call.request.method == "POST") {
        runs_.push_back({call.endpoint, "", call.request.body});
        answer(node, call, 201, "ran " + call.request.body, service_time);
    } else {
        answer(node, call, 200, "read " + path, duration{2});
    }
}

void fake_servers::on_cancel(const node_id& node, call_id call) {
    open_.erase({node, call.value()});
}

void fake_servers::crash(const std::string& endpoint) {
    servers_[endpoint].down = true;
    servers_[endpoint].adapters.clear();
    for (auto at = open_.begin(); at != open_.end();) {
        if (at->second.endpoint != endpoint) {
            ++at;
            continue;
        }
        const call_progressed broken{at->second.service, call_id{at->first.second},
                                     call_failure{call_failure_kind::broken}};
        const node_id node = at->first.first;
        at = open_.erase(at);
        cluster_.post_later(node, broken, duration{1});
    }
}

void fake_servers::restart(const std::string& endpoint) {
    servers_[endpoint].down = false;
    ++servers_[endpoint].boot;
}

std::size_t fake_servers::count_runs(const std::string& body) const {
    return static_cast<std::size_t>(std::count_if(
        runs_.begin(), runs_.end(), [&](const fake_run& each) { return each.prompt == body; }));
}

http_headers fake_servers::headers_of(const std::string& endpoint, const char* type) {
    return {{"Content-Type", type}, {"X-Boot-Id", std::to_string(servers_[endpoint].boot)}};
}

void fake_servers::answer(const node_id& node, const call_backend& call, int status,
                          const std::string& body, duration after) {
    post(node, call, http_head{status, headers_of(call.endpoint, "application/json")}, after);
    post(node, call, http_chunk{body}, after);
    post(node, call, http_end{}, after);
}

void fake_servers::order(const node_id& node, const call_backend& call, bool load) {
    const std::string adapter = json::parse(call.request.body)["lora_name"];
    auto& target = servers_[call.endpoint];
    if (load && refused_loads_.contains(adapter)) {
        answer(node, call, 500, "cannot load", load_time);
        return;
    }
    if (load) {
        target.adapters.insert(adapter);
    } else {
        target.adapters.erase(adapter);
        evicted_in_use_ += static_cast<std::size_t>(
            std::count_if(open_.begin(), open_.end(), [&](const auto& each) {
                return each.second.endpoint == call.endpoint && each.second.adapter == adapter;
            }));
    }
    answer(node, call, 200, "done", load ? load_time : duration{1});
}

void fake_servers::complete(const node_id& node, const call_backend& call) {
    const json body = json::parse(call.request.body);
    const std::string adapter = body["model"];
    const std::string prompt = body["prompt"];
    const std::uint64_t tokens = body["max_tokens"];
    if (!servers_[call.endpoint].adapters.contains(adapter)) {
        answer(node, call, 404, "no such adapter", duration{1});
        return;
    }
    runs_.push_back({call.endpoint, adapter, prompt});
    open_[{node, call.call.value()}].adapter = adapter;
    if (deadly_ && prompt.find(*deadly_) != std::string::npos) {
        crash(call.endpoint);
        return;
    }
    const bool stream = body.value("stream", false);
    if (!stream) {
        const json whole{{"choices", {{{"text", fake_text(adapter, prompt, tokens)}}}},
                         {"usage", {{"completion_tokens", tokens}}}};
        answer(node, call, 200, whole.dump(), step * static_cast<duration::rep>(tokens));
        return;
    }
    post(node, call, http_head{200, headers_of(call.endpoint, "text/event-stream")}, duration{1});
    for (std::uint64_t i = 0; i < tokens; ++i) {
        const json event{{"choices", {{{"text", fake_token(adapter, prompt, i)}}}}};
        post(node, call, http_chunk{"data: " + event.dump() + "\n\n"},
             step * static_cast<duration::rep>(i + 1));
    }
    const duration end = step * static_cast<duration::rep>(tokens + 1);
    post(node, call, http_chunk{"data: [DONE]\n\n"}, end);
    post(node, call, http_end{}, end);
}

void fake_servers::post(const node_id& node, const call_backend& call, call_progress part,
                        duration after) {
    const call_key key{node, call.call.value()};
    cluster_.schedule_in(after, [this, key, service = call.service, part = std::move(part)] {
        const auto found = open_.find(key);
        if (found == open_.end()) {
            return; // cut off, or its server died
        }
        if (std::holds_alternative<http_end>(part)) {
            open_.erase(found);
        }
        cluster_.post(key.first, call_progressed{service, call_id{key.second}, part});
    });
}

} // namespace camphorgrade::testing
