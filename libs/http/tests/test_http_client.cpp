#include "loopback.h"
#include "recording.h"

#include <http/call_pool.h>
#include <http/http_client.h>

#include <catch2/catch.hpp>

#include <thread>

using namespace camphorgrade;
using namespace camphorgrade::testing;

namespace {

const http_request get{"GET", "/", "", {}, ""};
const std::string head_end = "\r\n\r\n";

/** Calls a peer that answers with `bytes` and closes. */
recording_sink answered_with(const std::string& bytes, const http_request& request = get) {
    raw_listener peer;
    std::thread answering([&] {
        raw_connection connection = peer.accept();
        connection.read_until(head_end);
        connection.send(bytes);
    });
    recording_sink sink;
    http_client().call({"127.0.0.1", peer.port()}, request, {}, sink);
    answering.join();
    return sink;
}

/** Keeps the endings of a pool's calls. */
class recording_observer final : public call_observer {
public:
    void on_call_progress(call_id id, call_progress progress) override {
        const auto* failed = std::get_if<call_failure>(&progress);
        if (failed != nullptr || std::holds_alternative<http_end>(progress)) {
            endings.set({id, failed == nullptr ? std::nullopt : std::optional(failed->kind)});
        }
    }

    awaited<std::pair<call_id, std::optional<call_failure_kind>>> endings;
};

} // namespace

TEST_CASE("whole answers of both framings come through") {
    const recording_sink sized =
        answered_with("HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok");
    CHECK(sized.is_whole());
    CHECK(sized.head->status == 201);
    CHECK(sized.body == "ok");
    const recording_sink chunked = answered_with(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n1\r\n!\r\n0\r\n\r\n");
    CHECK(chunked.is_whole());
    CHECK(chunked.body == "ok!");
    CHECK(answered_with("HTTP/1.1 204 No Content\r\n\r\n").is_whole());
    CHECK(answered_with("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", {"HEAD", "/", "", {}, ""})
              .is_whole());
    CHECK(answered_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
              .head->status == 200);
}

TEST_CASE("answers that are cut short are broken, at every byte") {
    const std::vector<std::string> answers{
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"};
    for (const std::string& answer : answers) {
        for (std::size_t length = 0; length < answer.size(); length += 3) {
            CAPTURE(answer, length);
            const recording_sink sink = answered_with(answer.substr(0, length));
            CHECK(sink.failure == call_failure_kind::broken);
            CHECK(sink.endings == 1);
        }
    }
}

TEST_CASE("an answer that only ends with its connection is not taken for whole") {
    const recording_sink sink = answered_with("HTTP/1.1 200 OK\r\n\r\nmaybe all of it");
    CHECK(sink.body == "maybe all of it");
    CHECK(sink.failure == call_failure_kind::broken);
}

TEST_CASE("bytes that are not HTTP are broken") {
    CHECK(answered_with("garbage\r\n\r\n").failure == call_failure_kind::broken);
    CHECK(answered_with("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n").failure ==
          call_failure_kind::broken);
}

TEST_CASE("a call that never reached a peer is not sent") {
    raw_listener gone;
    gone.close();
    const std::vector<std::pair<http_endpoint, http_request>> cases{
        {{"127.0.0.1", gone.port()}, get},
        {{"no-number", 80}, get},
        {{"127.0.0.1", gone.port()}, {"GET", "/", "", {{"A", "b\r\nC: d"}}, ""}}};
    for (const auto& [endpoint, request] : cases) {
        recording_sink sink;
        http_client().call(endpoint, request, {}, sink);
        CHECK(sink.failure == call_failure_kind::not_sent);
        CHECK(sink.endings == 1);
    }
}

TEST_CASE("a peer that does not answer in time is broken") {
    const raw_listener silent;
    recording_sink sink;
    call_limits limits;
    limits.total_timeout = duration{50};
    http_client().call({"127.0.0.1", silent.port()}, get, limits, sink);
    CHECK(sink.failure == call_failure_kind::broken);
}

TEST_CASE("a call is cancelled from another thread") {
    raw_listener silent;
    recording_sink sink;
    call_cancellation cancellation;
    std::thread cancelling([&] {
        raw_connection connection = silent.accept();
        connection.read_until(head_end);
        cancellation.cancel();
        CHECK(connection.read_all().empty());
    });
    http_client().call({"127.0.0.1", silent.port()}, get, {}, sink, &cancellation);
    cancelling.join();
    CHECK(sink.failure == call_failure_kind::broken);
    recording_sink late;
    http_client().call({"127.0.0.1", silent.port()}, get, {}, late, &cancellation);
    CHECK(late.failure == call_failure_kind::not_sent);
}

TEST_CASE("a pool bounds what runs and what waits") {
    raw_listener peer;
    recording_observer observer;
    call_pool_settings settings;
    settings.max_running = 1;
    settings.max_queued = 1;
    call_pool pool(settings, observer);
    const http_endpoint endpoint{"127.0.0.1", peer.port()};
    CHECK(pool.submit(call_id{1}, endpoint, get, {}));
    CHECK(pool.submit(call_id{2}, endpoint, get, {}));
    CHECK_FALSE(pool.submit(call_id{3}, endpoint, get, {}));
    pool.cancel(call_id{2});
    CHECK(observer.endings.take() ==
          std::pair(call_id{2}, std::optional(call_failure_kind::not_sent)));
    CHECK(pool.submit(call_id{4}, endpoint, get, {}));
    for (const std::uint64_t id : {1, 4}) {
        raw_connection connection = peer.accept();
        connection.read_until(head_end);
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        CHECK(observer.endings.take() ==
              std::pair(call_id{id}, std::optional<call_failure_kind>()));
    }
    CHECK(pool.open_calls() == 0);
}

TEST_CASE("a pool that stops ends its calls") {
    raw_listener peer;
    recording_observer observer;
    call_pool pool({}, observer);
    pool.submit(call_id{1}, {"127.0.0.1", peer.port()}, get, {});
    raw_connection connection = peer.accept();
    connection.read_until(head_end);
    pool.stop();
    CHECK(observer.endings.take().second == call_failure_kind::broken);
    CHECK_FALSE(pool.submit(call_id{2}, {"127.0.0.1", peer.port()}, get, {}));
}
