#include <kvstore/etcd_client.h>
#include <standins/engine_standin.h>
#include <standins/expected_text.h>
#include <standins/kv_standin.h>
#include <standins/service_standin.h>
#include <standins/vms_standin.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <future>
#include <sstream>

using namespace camphorgrade;
using namespace camphorgrade::standins;
using nlohmann::json;

namespace {

const std::string loopback = "127.0.0.1";
const kv_txn create_key{{{"k", 0}}, {kv_put{"k", "v", 0}}, {}};

struct call_outcome final : call_sink {
    void on_progress(call_progress progress) override {
        if (const auto* head = std::get_if<http_head>(&progress)) {
            status = head->status;
            headers = head->headers;
        } else if (const auto* chunk = std::get_if<http_chunk>(&progress)) {
            body += chunk->bytes;
        } else {
            is_complete = std::holds_alternative<http_end>(progress);
        }
    }

    int status = 0;
    http_headers headers;
    std::string body;
    bool is_complete = false;
};

call_outcome send(std::uint16_t port, const std::string& method, const std::string& path,
                  const json& body = nullptr, http_headers headers = {}) {
    call_outcome result;
    http_client().call({loopback, port},
                       {method, path, "", std::move(headers), body.is_null() ? "" : body.dump()},
                       {}, result);
    return result;
}

json get_json(std::uint16_t port, const std::string& path) {
    return json::parse(send(port, "GET", path).body);
}

call_outcome load_adapter(const engine_standin& engine, const std::string& name, int fencing = 1) {
    return send(engine.port(), "POST", "/v1/load_lora_adapter",
                {{"lora_name", name}, {"lora_path", name}},
                {{"X-Fencing-Number", std::to_string(fencing)}});
}

call_outcome request_completion(const engine_standin& engine, const std::string& model,
                                bool stream = false) {
    return send(engine.port(), "POST", "/v1/completions",
                {{"model", model}, {"prompt", "p"}, {"max_tokens", 5}, {"stream", stream}});
}

template <typename Standin>
void start_on_free_port(Standin& standin) {
    REQUIRE(standin.start(loopback, 0));
}

} // namespace

TEST_CASE("the kv stand-in serves reads, writes, leases and watches of etcd_client") {
    kv_standin store;
    start_on_free_port(store);
    const etcd_client client({{loopback, store.port()}});
    CHECK(std::get<kv_txn_result>(client.execute(create_key)).succeeded);
    CHECK_FALSE(std::get<kv_txn_result>(client.execute(create_key)).succeeded);
    CHECK(std::get<kv_range_result>(client.execute(kv_range{"k", ""})).entries.size() == 1);
    const auto lease = std::get<kv_lease_result>(client.execute(kv_lease_grant{1}));
    CHECK(lease.ttl_s == 1);
    CHECK(std::get<kv_txn_result>(client.execute(kv_txn{{}, {kv_put{"l", "v", lease.lease}}, {}}))
              .succeeded);
    const auto changes = std::get<kv_watch_result>(client.execute(kv_watch{"l", "", 4}));
    CHECK(changes.events.at(0).deleted);
    CHECK(std::get<kv_lease_result>(client.execute(kv_lease_keep_alive{lease.lease})).ttl_s == 0);
    const json counts = get_json(store.port(), "/control/counts");
    CHECK(counts["writes"] == 3);
    CHECK(counts["calls"] == 7);
}

TEST_CASE("an open watch of the kv stand-in receives a write made after it started") {
    kv_standin store;
    start_on_free_port(store);
    const etcd_client client({{loopback, store.port()}});
    auto pending_watch = std::async(std::launch::async, [&] {
        return client.execute(kv_watch{"k", "", 2});
    });
    while (get_json(store.port(), "/control/counts")["watching"] != 1) {
    }
    client.execute(create_key);
    const auto changes = std::get<kv_watch_result>(pending_watch.get());
    CHECK(changes.events == std::vector<kv_watch_event>{{false, {"k", "v", 2, 2, 0}}});
}

TEST_CASE("the kv stand-in applies a write whose response it drops") {
    kv_standin store;
    start_on_free_port(store);
    const etcd_client client({{loopback, store.port()}});
    send(store.port(), "POST", "/control/faults", {{"lose_next_answers", 1}});
    CHECK(client.execute(create_key) == kv_reply(kv_failure{kv_failure_kind::ambiguous}));
    CHECK(std::get<kv_range_result>(client.execute(kv_range{"k", ""})).entries.size() == 1);
    send(store.port(), "POST", "/control/faults", {{"down", true}});
    CHECK(std::holds_alternative<kv_failure>(client.execute(kv_range{"k", ""})));
    send(store.port(), "POST", "/control/faults", {{"down", false}});
    CHECK(std::get<kv_range_result>(client.execute(kv_range{"k", ""})).revision == 2);
}

TEST_CASE("the engine stand-in limits loaded adapters and returns the expected text") {
    engine_settings settings;
    settings.adapter_slots = 1;
    engine_standin engine(settings);
    start_on_free_port(engine);
    CHECK(request_completion(engine, "hall@v1").status == 404);
    const call_outcome loaded = load_adapter(engine, "hall@v1");
    CHECK(loaded.status == 200);
    CHECK(find_header(loaded.headers, "X-Boot-Id").has_value());
    CHECK(load_adapter(engine, "hall@v1").status == 400);
    CHECK(load_adapter(engine, "studio@v1").status == 507);
    const json completion = json::parse(request_completion(engine, "hall@v1").body);
    CHECK(completion["choices"][0]["text"] == expected_text("hall@v1", "p", 5));
    CHECK(completion["usage"]["completion_tokens"] == 5);
    CHECK(get_json(engine.port(), "/v1/models")["data"].size() == 2);
    CHECK(
        send(engine.port(), "POST", "/v1/unload_lora_adapter", {{"lora_name", "hall@v1"}}).status ==
        200);
    CHECK(get_json(engine.port(), "/control/state")["authorization_headers"] == 0);
}

TEST_CASE("streams of the engine stand-in end with DONE or break off when configured") {
    engine_standin engine;
    start_on_free_port(engine);
    const call_outcome complete = request_completion(engine, "base", true);
    CHECK(complete.is_complete);
    CHECK(complete.body.ends_with("data: [DONE]\n\n"));
    std::string text;
    std::istringstream lines(complete.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("data: {")) {
            text += json::parse(line.substr(6))["choices"][0]["text"].get<std::string>();
        }
    }
    CHECK(text == expected_text("base", "p", 5));
    send(engine.port(), "POST", "/control/faults", {{"break_stream_at", 2}});
    const call_outcome truncated = request_completion(engine, "base", true);
    CHECK_FALSE(truncated.is_complete);
    CHECK(truncated.body.find(expected_token("base", "p", 1)) != std::string::npos);
    CHECK(truncated.body.find(expected_token("base", "p", 2)) == std::string::npos);
}

TEST_CASE("the engine stand-in checks fencing numbers only when configured to") {
    for (const bool checks_fencing : {true, false}) {
        engine_settings settings;
        settings.checks_fencing = checks_fencing;
        engine_standin engine(settings);
        start_on_free_port(engine);
        CHECK(load_adapter(engine, "a", 7).status == 200);
        CHECK(load_adapter(engine, "b", 6).status == (checks_fencing ? 409 : 200));
        CHECK(get_json(engine.port(), "/control/state")["stale_orders"] ==
              (checks_fencing ? 1 : 0));
    }
}

TEST_CASE("the engine stand-in cancels the generation of a caller that disconnects") {
    engine_settings settings;
    settings.token_interval = duration{60'000};
    engine_standin engine(settings);
    start_on_free_port(engine);
    call_cancellation cancellation;
    auto pending_call = std::async(std::launch::async, [&] {
        call_outcome unused_outcome;
        const json body{{"model", "base"}, {"prompt", "p"}};
        http_client().call({loopback, engine.port()},
                           {"POST", "/v1/completions", "", {}, body.dump()}, {}, unused_outcome,
                           &cancellation);
    });
    while (get_json(engine.port(), "/control/state")["running"] != 1) {
    }
    cancellation.cancel();
    pending_call.get();
    while (get_json(engine.port(), "/control/state")["cancelled"] != 1) {
    }
    CHECK(get_json(engine.port(), "/control/state")["running"] == 0);
}

TEST_CASE("a prompt with the crash marker crashes the engine stand-in") {
    engine_settings settings;
    settings.crash_marker = "poison";
    int crashes = 0;
    settings.crash = [&] { ++crashes; };
    engine_standin engine(settings);
    start_on_free_port(engine);
    const json body{{"model", "base"}, {"messages", {{{"content", "some poison"}}}}};
    CHECK_FALSE(send(engine.port(), "POST", "/v1/chat/completions", body).is_complete);
    engine.stop();
    CHECK(crashes == 1);
}

TEST_CASE("the booking service counts each run, with or without a response") {
    service_standin service;
    start_on_free_port(service);
    const json booking{{"id", "b-1"}};
    CHECK(send(service.port(), "POST", "/bookings", booking).status == 201);
    send(service.port(), "POST", "/control/faults", {{"lose_next_answers", 1}});
    CHECK_FALSE(send(service.port(), "POST", "/bookings", booking).is_complete);
    CHECK(get_json(service.port(), "/control/counts")["runs"]["b-1"] == 2);
    CHECK(send(service.port(), "GET", "/bookings/b-1").status == 200);
    CHECK(send(service.port(), "GET", "/bookings/b-2").status == 404);
    CHECK(send(service.port(), "POST", "/bookings", {{"id", 5}}).status == 400);
}

TEST_CASE("the VM list returns the list that was set and rejects a malformed one") {
    vms_standin vms;
    start_on_free_port(vms);
    const json list{{"vms", {{{"address", "10.0.0.1"}, {"state", "leaving"}}}}};
    CHECK(send(vms.port(), "POST", "/control/vms", list).status == 200);
    CHECK(get_json(vms.port(), "/v1/vms") == list);
    CHECK(send(vms.port(), "POST", "/control/vms", {{"vms", {{{"state", "x"}}}}}).status == 400);
}
