#pragma once

#include <serving/dispatcher.h>

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace camphorgrade::testing {

using namespace camphorgrade::serving;

inline time_point at_ms(std::int64_t ms) {
    return time_point{duration{ms}};
}

/** A catalogue with an engine service "llm", a plain service "desk", and one account. */
inline service_catalogue small_catalogue(std::uint64_t version = 1) {
    service_catalogue out;
    out.version = version;
    route plan;
    plan.name = "plan";
    plan.host = "a.example";
    plan.path_prefix = "/plan/";
    plan.kind = request_kind::streaming;
    plan.timeout = duration{5'000};
    plan.latency_objective = duration{1'000};
    plan.longest_pause = duration{300};
    plan.priority = 1;
    plan.services = {{"llm", 1}};
    route book;
    book.name = "book";
    book.host = "a.example";
    book.path_prefix = "/book/";
    book.kind = request_kind::non_idempotent;
    book.timeout = duration{2'000};
    book.latency_objective = duration{300};
    book.services = {{"desk", 1}};
    route read = book;
    read.name = "read";
    read.path_prefix = "/read/";
    read.kind = request_kind::idempotent;
    read.max_attempts = 2;
    route open = read;
    open.name = "open";
    open.path_prefix = "/open/";
    open.is_public = true;
    out.routes = {plan, book, read, open};
    engine_capacity engine;
    engine.batch_slots = 64;
    engine.kv_tokens = 250'000;
    engine.weights_capacity_mb = 1'000;
    engine.adapter_slots = 2;
    engine.models = {{"m", 900, 1, duration{1'000}}};
    out.services = {{"llm", engine}, {"desk", std::nullopt}};
    out.accounts = {{"studio", {"key-1"}, 1, true, 200, 100'000, 100'000}};
    return out;
}

inline backend_server server_of(const std::string& id, const std::string& service) {
    backend_server out;
    out.id = id;
    out.service = service;
    out.address = {"10.0.0." + id.substr(id.size() - 1), 8'000};
    out.data_centre = "dc-1";
    out.slots = service == "llm" ? 64 : 6;
    out.started_at_ms = 1'000;
    if (service == "llm") {
        out.held = {{"m", 1}};
    }
    return out;
}

inline engine_state engine_with(std::vector<adapter_status> adapters, std::uint64_t sequence = 1) {
    engine_state out;
    out.agent_incarnation = 1;
    out.sequence = sequence;
    out.started_at_ms = 1'000;
    out.models = {{"m", 1}};
    out.adapters = std::move(adapters);
    out.available_adapter_slots =
        static_cast<std::uint32_t>(2 - std::min<std::size_t>(2, out.adapters.size()));
    out.kv_total = 250'000;
    return out;
}

inline request_metadata profile_of(const std::string& path, const std::string& adapter = {}) {
    request_metadata out;
    out.id = "r";
    out.host = "a.example";
    out.path = path;
    out.key = "key-1";
    out.deadline = duration{5'000};
    if (!adapter.empty()) {
        out.model = "m";
        out.adapter = adapter;
        out.prompt_tokens = 1'000;
        out.max_output_tokens = 50;
        out.has_token_counts = true;
    }
    return out;
}

/** A dispatcher with two engines ("llm") and two plain backend servers ("desk"). */
struct dispatcher_fixture {
    explicit dispatcher_fixture(dispatcher_settings settings = {})
        : decisions(settings, "dc-1", 7) {
        decisions.set_catalogue(small_catalogue(), at_ms(0));
        for (const auto* id : {"engine-1", "engine-2"}) {
            decisions.backends().put(server_of(id, "llm"));
            decisions.on_engine_state(id, engine_with({}), at_ms(0));
        }
        for (const auto* id : {"desk-1", "desk-2"}) {
            decisions.backends().put(server_of(id, "desk"));
        }
    }

    /** Passes a request to the dispatcher, stores the effects and returns the handle. */
    request_handle arrive(const request_metadata& metadata, std::int64_t ms) {
        const auto id = decisions.on_request(metadata, 42, at_ms(ms));
        effects = decisions.take_effects();
        return id;
    }

    void ended(request_handle id, attempt_outcome outcome, std::int64_t ms) {
        decisions.on_attempt_ended(id, outcome, at_ms(ms));
        effects = decisions.take_effects();
    }

    template <typename Effect>
    const Effect* only() const {
        return effects.size() == 1 ? std::get_if<Effect>(&effects.front()) : nullptr;
    }

    dispatcher decisions;
    std::vector<dispatch_effect> effects;
};

} // namespace camphorgrade::testing
