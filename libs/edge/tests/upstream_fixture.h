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

/** The response or the failure of one call. */
struct call_result {
    bool is_complete = false;
    std::optional<upstream_failure> failure;
    int status = 0;
    std::string body;
};

/** Records the response of one call. */
class recording_sink final : public upstream_sink {
public:
    void on_head(const http_head& head, const upstream_framing& framing) override {
        static_cast<void>(framing);
        received.status = head.status;
        head_promise.set_value();
    }
    void on_body(std::string_view bytes) override { received.body.append(bytes); }
    void on_end() override {
        received.is_complete = true;
        end_promise.set_value(received);
    }
    void on_failure(upstream_failure failure) override {
        received.failure = failure;
        end_promise.set_value(received);
    }

    call_result received;
    std::promise<void> head_promise;
    std::promise<call_result> end_promise;
};

/** A pool on its own event loop, and a listener at which the test plays the server. */
struct upstream_fixture {
    explicit upstream_fixture(upstream_settings settings = {})
        : listener(server_loop, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          pool(thread, thread.loop, clock, settings) {}
    ~upstream_fixture() {
        thread.run([&] { calls.clear(); });
    }

    upstream_address address() const { return {listener.local_endpoint(), "server-1"}; }

    /** Starts a call; the returned sink lives as long as the fixture. */
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

/** Waits until a call has ended; fails the test after five seconds. */
inline call_result wait_for_end(recording_sink& sink) {
    auto future = sink.end_promise.get_future();
    REQUIRE(future.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    return future.get();
}

/** A response with Content-Length and the correlation id `id`. */
inline std::string response_text(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace camphorgrade::testing
