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
const kv_txn create{{{"k", 0}}, {kv_put{"k", "v", 0}}, {}};

struct outcome final : call_sink {
    void on_progress(call_progress progress) override {
        if (const auto* head = std::get_if<http_head>(&progress)) {
            status = head->status;
            headers = head->headers;
        } else if (const auto* chunk = std::get_if<http_chunk>(&progress)) {
            body += chunk->bytes;
        } else {
            is_whole = std::holds_alternative<http_end>(progress);
        }
    }

    int status = 0;
    http_headers headers;
    std::string body;
    bool is_whole = false;
};

outcome send(std::uint16_t port, const std::string& method, const std::string& path,
             const json& body = nullptr, http_headers headers = {}) {
    outcome result;
    http_client().call({loopback, port},
                       {method, path, "", std::move(headers), body.is_null() ? "" : body.dump()},
                       {}, result);
    return result;
}

json read(std::uint16_t port, const std::string& path) {
    return json::parse(send(port, "GET", path).body);
}

outcome load(const engine_standin& engine, const std::string& name, int fencing = 1) {
    return send(engine.port(), "POST", "/v1/load_lora_adapter",
                {{"lora_name", name}, {"lora_path", name}},
                {{"X-Fencing-Number", std::to_string(fencing)}});
}

outcome complete(const engine_standin& engine, const std::string& model, bool stream = false) {
    return send(engine.port(), "POST", "/v1/completions",
                {{"model", model}, {"prompt", "p"}, {"max_tokens", 5}, {"stream", stream}});
}

template <typename Standin>
void start(Standin& standin) {
    REQUIRE(standin.start(loopback, 0));
}

} // namespace

TEST_CASE("the kv stand-in serves the client, leases and all") {
    kv_standin store;
    start(store);
    const etcd_client client({{loopback, store.port()}});
    CHECK(std::get<kv_txn_result>(client.execute(create)).succeeded);
    CHECK_FALSE(std::get<kv_txn_result>(client.execute(create)).succeeded);
    CHECK(std::get<kv_range_result>(client.execute(kv_range{"k", ""})).entries.size() == 1);
    const auto lease = std::get<kv_lease_result>(client.execute(kv_lease_grant{1}));
    CHECK(lease.ttl_s == 1);
    CHECK(std::get<kv_txn_result>(client.execute(kv_txn{{}, {kv_put{"l", "v", lease.lease}}, {}}))
              .succeeded);
    const auto news = std::get<kv_watch_result>(client.execute(kv_watch{"l", "", 4}));
    CHECK(news.events.at(0).deleted);
    CHECK(std::get<kv_lease_result>(client.execute(kv_lease_keep_alive{lease.lease})).ttl_s == 0);
    const json counts = read(store.port(), "/control/counts");
    CHECK(counts["writes"] == 3);
    CHECK(counts["calls"] == 7);
}

TEST_CASE("a watch at the kv stand-in hears of a write made while it waits") {
    kv_standin store;
    start(store);
    const etcd_client client({{loopback, store.port()}});
    auto watching = std::async(std::launch::async, [&] {
        return client.execute(kv_watch{"k", "", 2});
    });
    while (read(store.port(), "/control/counts")["watching"] != 1) {
    }
    client.execute(create);
    const auto news = std::get<kv_watch_result>(watching.get());
    CHECK(news.events == std::vector<kv_watch_event>{{false, {"k", "v", 2, 2, 0}}});
}

TEST_CASE("an answer lost by the kv stand-in is lost after the write took effect") {
    kv_standin store;
    start(store);
    const etcd_client client({{loopback, store.port()}});
    send(store.port(), "POST", "/control/faults", {{"lose_next_answers", 1}});
    CHECK(client.execute(create) == kv_reply(kv_failure{kv_failure_kind::ambiguous}));
    CHECK(std::get<kv_range_result>(client.execute(kv_range{"k", ""})).entries.size() == 1);
    send(store.port(), "POST", "/control/faults", {{"down", true}});
    CHECK(std::holds_alternative<kv_failure>(client.execute(kv_range{"k", ""})));
    send(store.port(), "POST", "/control/faults", {{"down", false}});
    CHECK(std::get<kv_range_result>(client.execute(kv_range{"k", ""})).revision == 2);
}

TEST_CASE("the engine stand-in loads into few slots and answers with the expected text") {
    engine_settings settings;
    settings.slots = 1;
    engine_standin engine(settings);
    start(engine);
    CHECK(complete(engine, "hall@v1").status == 404);
    const outcome loaded = load(engine, "hall@v1");
    CHECK(loaded.status == 200);
    CHECK(find_header(loaded.headers, "X-Boot-Id").has_value());
    CHECK(load(engine, "hall@v1").status == 400);
    CHECK(load(engine, "studio@v1").status == 507);
    const json answer = json::parse(complete(engine, "hall@v1").body);
    CHECK(answer["choices"][0]["text"] == expected_text("hall@v1", "p", 5));
    CHECK(answer["usage"]["completion_tokens"] == 5);
    CHECK(read(engine.port(), "/v1/models")["data"].size() == 2);
    CHECK(
        send(engine.port(), "POST", "/v1/unload_lora_adapter", {{"lora_name", "hall@v1"}}).status ==
        200);
    CHECK(read(engine.port(), "/control/state")["authorization_headers"] == 0);
}

TEST_CASE("streams of the engine stand-in end in DONE, or are cut on demand") {
    engine_standin engine;
    start(engine);
    const outcome whole = complete(engine, "base", true);
    CHECK(whole.is_whole);
    CHECK(whole.body.ends_with("data: [DONE]\n\n"));
    std::string text;
    std::istringstream lines(whole.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("data: {")) {
            text += json::parse(line.substr(6))["choices"][0]["text"].get<std::string>();
        }
    }
    CHECK(text == expected_text("base", "p", 5));
    send(engine.port(), "POST", "/control/faults", {{"break_stream_at", 2}});
    const outcome cut = complete(engine, "base", true);
    CHECK_FALSE(cut.is_whole);
    CHECK(cut.body.find(expected_token("base", "p", 1)) != std::string::npos);
    CHECK(cut.body.find(expected_token("base", "p", 2)) == std::string::npos);
}

TEST_CASE("the engine stand-in checks fencing numbers only when told to") {
    for (const bool checks : {true, false}) {
        engine_settings settings;
        settings.checks_fencing = checks;
        engine_standin engine(settings);
        start(engine);
        CHECK(load(engine, "a", 7).status == 200);
        CHECK(load(engine, "b", 6).status == (checks ? 409 : 200));
        CHECK(read(engine.port(), "/control/state")["stale_orders"] == (checks ? 1 : 0));
    }
}

TEST_CASE("a caller that hangs up cancels its generation") {
    engine_settings settings;
    settings.token_time = duration{60'000};
    engine_standin engine(settings);
    start(engine);
    call_cancellation cancellation;
    auto calling = std::async(std::launch::async, [&] {
        outcome ignored;
        const json body{{"model", "base"}, {"prompt", "p"}};
        http_client().call({loopback, engine.port()},
                           {"POST", "/v1/completions", "", {}, body.dump()}, {}, ignored,
                           &cancellation);
    });
    while (read(engine.port(), "/control/state")["running"] != 1) {
    }
    cancellation.cancel();
    calling.get();
    while (read(engine.port(), "/control/state")["cancelled"] != 1) {
    }
    CHECK(read(engine.port(), "/control/state")["running"] == 0);
}

TEST_CASE("a marked prompt crashes the engine stand-in") {
    engine_settings settings;
    settings.crash_marker = "poison";
    int crashes = 0;
    settings.crash = [&] { ++crashes; };
    engine_standin engine(settings);
    start(engine);
    const json body{{"model", "base"}, {"messages", {{{"content", "some poison"}}}}};
    CHECK_FALSE(send(engine.port(), "POST", "/v1/chat/completions", body).is_whole);
    engine.stop();
    CHECK(crashes == 1);
}

TEST_CASE("the booking service counts each run, answered or not") {
    service_standin service;
    start(service);
    const json booking{{"id", "b-1"}};
    CHECK(send(service.port(), "POST", "/bookings", booking).status == 201);
    send(service.port(), "POST", "/control/faults", {{"lose_next_answers", 1}});
    CHECK_FALSE(send(service.port(), "POST", "/bookings", booking).is_whole);
    CHECK(read(service.port(), "/control/counts")["runs"]["b-1"] == 2);
    CHECK(send(service.port(), "GET", "/bookings/b-1").status == 200);
    CHECK(send(service.port(), "GET", "/bookings/b-2").status == 404);
    CHECK(send(service.port(), "POST", "/bookings", {{"id", 5}}).status == 400);
}

TEST_CASE("the list of VMs shows what was set") {
    vms_standin vms;
    start(vms);
    const json list{{"vms", {{{"address", "10.0.0.1"}, {"state", "leaving"}}}}};
    CHECK(send(vms.port(), "POST", "/control/vms", list).status == 200);
    CHECK(read(vms.port(), "/v1/vms") == list);
    CHECK(send(vms.port(), "POST", "/control/vms", {{"vms", {{{"state", "x"}}}}}).status == 400);
}
