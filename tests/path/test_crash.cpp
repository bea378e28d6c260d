// Kills, pauses and replaces real processes, synchronized on what the processes themselves report.
#include "test_site.h"

#include <standins/expected_text.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <csignal>
#include <future>
#include <thread>

using namespace camphorgrade;
using namespace camphorgrade::testing;
using nlohmann::json;

namespace {

constexpr int long_stream_tokens = 60;

std::string completion(const std::string& prompt, int tokens, bool stream) {
    return json{{"model", "hall"}, {"prompt", prompt}, {"max_tokens", tokens}, {"stream", stream}}
        .dump();
}

std::string streamed_text(const received_answer& answer) {
    std::string text;
    std::istringstream lines(answer.body);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("data: {") && line.find("choices") != std::string::npos) {
            text += json::parse(line.substr(6))["choices"][0]["text"].get<std::string>();
        }
    }
    return text;
}

json error_of(const received_answer& answer) {
    const auto body = json::parse(answer.body, nullptr, false);
    return body.is_object() && body.contains("error") ? body["error"] : json::object();
}

void set_faults(const test_site& site, const std::string& name, const json& faults) {
    REQUIRE(call(site.port(name), "POST", "/control/faults", faults.dump(),
                 {{"Content-Type", "application/json"}})
                    .status /
                100 ==
            2);
}

json control(const test_site& site, const std::string& name, const std::string& path) {
    return json::parse(call(site.port(name), "GET", path).body, nullptr, false);
}

/** Name of the engine that runs something; waits for one that does. */
std::string busy_engine(const test_site& site) {
    constexpr int most_tries = 1'000;
    for (int i = 0; i < most_tries; ++i) {
        for (const char* name : {"engine-1", "engine-2"}) {
            const auto state = control(site, name, "/control/state");
            if (state.is_object() && state.value("running", 0) > 0) {
                return name;
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return "";
}

} // namespace

TEST_CASE("an engine is killed under a stream: the caller gets the whole text, each byte once") {
    test_site site({});
    for (const char* engine : {"engine-1", "engine-2"}) {
        set_faults(site, engine, {{"token_ms", 20}});
    }
    auto answer = std::async(std::launch::async, [&] {
        return site.post(0, "/v1/completions", completion("draft", long_stream_tokens, true));
    });
    const std::string engine = busy_engine(site);
    REQUIRE_FALSE(engine.empty());
    site.process(engine).kill();
    const auto received = answer.get();
    CHECK(received.whole);
    CHECK(streamed_text(received) ==
          standins::expected_text("hall@v2", "draft", long_stream_tokens));
}

TEST_CASE("an agent is killed under a booking: it ran at most once, and a resend never runs it") {
    test_site site({});
    set_faults(site, "booking-1", {{"delay_ms", 1'500}});
    const http_headers key{{"Idempotency-Key", "visit-1"}};
    const std::string body = R"({"id":"visit-1"})";
    auto answer = std::async(std::launch::async,
                             [&] { return site.post(0, "/services/booking/bookings", body, key); });
    REQUIRE(wait_for_text(site.port("agent-booking-1-operators"), "/status", "\"runs\": 1"));
    site.process("agent-booking-1").kill();
    const auto first = answer.get();
    CHECK(error_of(first)["run"] == "unknown");
    set_faults(site, "booking-1", {{"delay_ms", 0}});
    site.restart("agent-booking-1");
    REQUIRE(site.wait_serving());
    const auto again = site.post(1, "/services/booking/bookings", body, key);
    INFO(again.body);
    CHECK(error_of(again)["run"] == "unknown");
    const auto counts = control(site, "booking-1", "/control/counts");
    CHECK(counts["runs"].value("visit-1", 0) <= 1);
}

TEST_CASE("the key-value service is out: completions go on, bookings are truly not run") {
    test_site site({});
    REQUIRE(site.post(0, "/v1/completions", completion("x", 4, false)).status == 200);
    set_faults(site, "kv", {{"down", true}});
    CHECK(site.post(0, "/v1/completions", completion("y", 4, false)).status == 200);
    const auto booking = site.post(0, "/services/booking/bookings", R"({"id":"visit-2"})",
                                   {{"Idempotency-Key", "visit-2"}});
    CHECK(error_of(booking)["run"] == "not_run");
    set_faults(site, "kv", {{"down", false}});
    CHECK(control(site, "booking-1", "/control/counts")["runs"].value("visit-2", 0) == 0);
}

TEST_CASE("a gateway that was paused past its validity admits nothing on a withdrawn key") {
    test_site site({});
    site.process("gateway-1").signal(SIGSTOP);
    const std::string id = site.key().substr(3, 16);
    REQUIRE(site.control({"key", "withdraw", id}).exit_code == 0);
    REQUIRE(wait_for_text(site.port("gateway-2-operators"), "/status", "\"withdrawn\": 1"));
    // The other gateway seals the paused one only after the validity has run out.
    REQUIRE(wait_for_text(site.port("agent-engine-1-operators"), "/status", "\"withdrawn\": 1"));
    auto answer = std::async(std::launch::async, [&] {
        return site.post(0, "/v1/completions", completion("x", 4, false));
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(5'500)); // the promise's own five seconds
    site.process("gateway-1").signal(SIGCONT);
    const auto received = answer.get();
    CHECK(received.status != 200);
    CHECK(error_of(received)["run"] == "not_run");
}

TEST_CASE("every process is replaced in turn under load, and no request fails") {
    test_site site({});
    std::atomic<bool> stop{false};
    std::atomic<int> asked{0};
    std::vector<std::string> failures;
    std::thread load([&] {
        for (int i = 0; !stop; ++i) {
            const int gateway = i % 2;
            const std::string name = gateway == 0 ? "gateway-1" : "gateway-2";
            // The platform's balancer sends only to gateways that say they are ready.
            if (call(site.port(name + "-operators"), "GET", "/ready").status != 200) {
                continue;
            }
            const auto answer =
                site.post(gateway, "/v1/completions", completion(std::to_string(i), 6, i % 3 == 0));
            ++asked;
            if (answer.status != 200 || !answer.whole) {
                failures.push_back(std::to_string(answer.status) + " " + answer.body);
            }
        }
    });
    for (const char* name : {"agent-engine-1", "agent-engine-2", "gateway-1", "gateway-2"}) {
        CHECK(site.process(name).terminate() == 0);
        site.restart(name);
        CHECK(site.wait_serving());
    }
    stop = true;
    load.join();
    CHECK(asked > 20);
    INFO((failures.empty() ? std::string("none") : failures.front()));
    CHECK(failures.empty());
}

TEST_CASE("a process whose VM the platform lists as leaving shuts down gracefully") {
    test_site site({});
    const std::string address = "127.0.0.1:" + std::to_string(site.port("agent-engine-1"));
    const json list{{"vms", {{{"address", address}, {"state", "leaving"}}}}};
    REQUIRE(call(site.port("vms"), "POST", "/control/vms", list.dump(),
                 {{"Content-Type", "application/json"}})
                    .status /
                100 ==
            2);
    CHECK(site.process("agent-engine-1").wait() == 0);
    CHECK(site.post(0, "/v1/completions", completion("x", 4, false)).status == 200);
}
