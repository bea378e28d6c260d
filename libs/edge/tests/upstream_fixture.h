#pragma once

#include "loop_thread.h"
#include "raw_socket.h"

#include <edge/upstream_pool.h>

#include <catch2/catch.hpp>

#include <deque>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace camphorgrade::testing {

using namespace camphorgrade::edge;

/** What came back from one call. */
struct outcome {
    bool is_whole = false;
    std::optional<upstream_failure> failure;
    int status = 0;
    std::string body;
};

class recording_sink final : public upstream_sink {
public:
    void on_head(const http_head& head, const upstream_framing& framing) override {
        static_cast<void>(framing);
        got.status = head.status;
        heads.set_value();
    }
    void on_body(std::string_view bytes) override { got.body.append(bytes); }
    void on_end() override {
        got.is_whole = true;
        ended.set_value(got);
    }
    void on_failure(upstream_failure why) override {
        got.failure = why;
        ended.set_value(got);
    }

    outcome got;
    std::promise<void> heads;
    std::promise<outcome> ended;
};

/** A pool on a loop of its own, and a listener whose connections a test answers by hand. */
struct upstream_fixture {
    explicit upstream_fixture(upstream_settings settings = {})
        : listener(server_loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          pool(thread, thread.loop, clock, settings) {}
    ~upstream_fixture() {
        thread.run([&] { calls.clear(); });
    }

    upstream_address address() const { return {listener.local_endpoint(), "server-1"}; }

    /** Starts a call; what it returns outlives the call. */
    recording_sink& start(const std::string& id = "r1") {
        upstream_request request;
        request.method = "POST";
        request.target = "/work";
        request.headers = {{"Host", "x"}, {"X-Id", id}};
        request.body = "body";
        request.correlation_header = "X-Id";
        request.correlation_id = id;
        return start(address(), request);
    }

    recording_sink& start(const upstream_address& to, const upstream_request& request) {
        auto& sink = sinks.emplace_back();
        thread.run([&] { calls.push_back(pool->start(to, request, sink)); });
        return sink;
    }

    raw_socket accept() { return raw_socket(listener.accept()); }

    monotonic_clock clock;
    boost::asio::io_context server_loop;
    boost::asio::ip::tcp::acceptor listener;
    std::deque<recording_sink> sinks;
    loop_thread thread;
    on_loop<upstream_pool> pool;
    std::vector<std::unique_ptr<upstream_call>> calls;
};

inline outcome end_of(recording_sink& sink) {
    auto future = sink.ended.get_future();
    REQUIRE(future.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    return future.get();
}

inline std::string answer(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace camphorgrade::testing
