#include "upstream_fixture.h"

#include <edge/buffered_calls.h>

#include <future>
#include <memory>
#include <string>

using namespace camphorgrade;
using namespace camphorgrade::edge;
using namespace camphorgrade::testing;

TEST_CASE("a request is sent unchanged and its complete response is received") {
    upstream_fixture fixture;
    auto& sink = fixture.start();
    auto server = fixture.accept();
    const auto request = server.read_until("body");
    CHECK(request.find("POST /work HTTP/1.1\r\n") == 0);
    CHECK(request.find("Content-Length: 4\r\n") != std::string::npos);
    server.send(response_text("r1", "fine"));
    const auto received = wait_for_end(sink);
    CHECK(received.is_complete);
    CHECK(received.body == "fine");
}

TEST_CASE("a connection is reused after a complete response") {
    upstream_fixture fixture;
    auto& first = fixture.start();
    auto server = fixture.accept();
    server.read_until("body");
    server.send(response_text("r1", "one"));
    CHECK(wait_for_end(first).body == "one");
    auto& second = fixture.start("r2");
    CHECK(server.read_until("body").find("X-Id: r2") != std::string::npos);
    server.send(response_text("r2", "two"));
    CHECK(wait_for_end(second).body == "two");
}

TEST_CASE("a response to another request is skipped") {
    upstream_fixture fixture;
    auto& sink = fixture.start("r2");
    auto server = fixture.accept();
    server.read_until("body");
    server.send(response_text("r1", "late") + response_text("r2", "right"));
    CHECK(wait_for_end(sink).body == "right");
}

TEST_CASE("a connection with bytes after a complete response isn't reused") {
    upstream_fixture fixture;
    auto& sink = fixture.start();
    auto server = fixture.accept();
    server.read_until("body");
    server.send(response_text("r1", "fine") + response_text("r1", "fine"));
    CHECK(wait_for_end(sink).is_complete);
    fixture.start("r2");
    auto new_connection = fixture.accept();
    CHECK(new_connection.read_until("body").find("X-Id: r2") != std::string::npos);
}

TEST_CASE("a truncated response fails the call") {
    auto expected = upstream_failure::closed;
    upstream_fixture fixture;
    auto& sink = fixture.start();
    auto server = fixture.accept();
    server.read_until("body");
    SECTION("before the end of its Content-Length") {
        server.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 10\r\n\r\npart");
        server.close();
    }
    SECTION("before its last chunk") {
        server.send(
            "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
        server.close();
    }
    SECTION("by a reset, without Content-Length") {
        server.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\npart");
        sink.head_promise.get_future().wait();
        server.reset();
        expected = upstream_failure::reset;
    }
    SECTION("before its head") {
        server.close();
    }
    SECTION("by bytes that are no HTTP response") {
        server.send("nonsense\r\n\r\n");
        expected = upstream_failure::malformed;
    }
    CHECK(wait_for_end(sink).failure == expected);
}

TEST_CASE("a response without Content-Length is complete after an orderly close") {
    upstream_fixture fixture;
    auto& sink = fixture.start();
    auto server = fixture.accept();
    server.read_until("body");
    server.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nall of it");
    server.close();
    const auto received = wait_for_end(sink);
    CHECK(received.is_complete);
    CHECK(received.body == "all of it");
}

TEST_CASE("a call to a closed port fails as not connected") {
    upstream_fixture fixture;
    const auto address = fixture.address();
    fixture.listener.close();
    auto& sink = fixture.start(address, {"GET", "/", {}, "", "", ""});
    CHECK(wait_for_end(sink).failure == upstream_failure::not_connected);
}

TEST_CASE("cancelling a call resets its connection") {
    upstream_fixture fixture;
    fixture.start();
    auto server = fixture.accept();
    server.read_until("body");
    fixture.thread.run([&] { fixture.calls.clear(); });
    server.read_all();
    CHECK(server.was_reset());
}

TEST_CASE("destroying the handle of a finished call leaves the next call on its connection open") {
    upstream_fixture fixture;
    auto& first = fixture.start();
    auto server = fixture.accept();
    server.read_until("body");
    server.send(response_text("r1", "one"));
    wait_for_end(first);
    auto& second = fixture.start("r2");
    server.read_until("body");
    fixture.thread.run([&] { fixture.calls.erase(fixture.calls.begin()); });
    server.send(response_text("r2", "two"));
    CHECK(wait_for_end(second).body == "two");
}

TEST_CASE("a buffered call without a response in time ends with a timeout") {
    upstream_fixture fixture;
    std::promise<call_outcome> ended;
    std::unique_ptr<buffered_calls> calls;
    fixture.thread.run([&] {
        calls = std::make_unique<buffered_calls>(fixture.thread.loop, *fixture.pool);
        calls->start(
            fixture.address(), {"GET", "/", {{"Host", "x"}}, "", "", ""}, duration{50},
            [&](call_outcome outcome, const buffered_response&) { ended.set_value(outcome); });
    });
    auto future = ended.get_future();
    REQUIRE(future.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    CHECK(future.get() == call_outcome::timed_out);
    fixture.thread.run([&] { calls.reset(); });
}
