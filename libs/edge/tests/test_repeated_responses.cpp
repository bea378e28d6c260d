#include "upstream_fixture.h"

#include <chrono>
#include <optional>
#include <string>
#include <thread>

using namespace camphorgrade;
using namespace camphorgrade::edge;
using namespace camphorgrade::testing;

namespace {

const std::string refusal_body = "not run";

std::string refusal(const std::string& id_line) {
    return "HTTP/1.1 503 Full\r\n" + id_line +
           "Content-Length: " + std::to_string(refusal_body.size()) + "\r\n\r\n" + refusal_body;
}

/** Accepts a connection unless none arrives within two seconds. */
std::optional<raw_socket> accept_soon(upstream_fixture& fixture) {
    fixture.listener.non_blocking(true);
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (std::chrono::steady_clock::now() < until) {
        boost::system::error_code error;
        auto socket = fixture.listener.accept(error);
        if (!error) {
            socket.non_blocking(false);
            return raw_socket(std::move(socket));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return std::nullopt;
}

/** A server that refused request "r1" on a connection, which is idle afterwards. */
struct refused_before {
    refused_before() : server(fixture.accept()) {
        server.read_until("body");
        server.send(refusal("X-Id: r1\r\n"));
        REQUIRE(wait_for_end(first).status == 503);
    }

    upstream_fixture fixture;
    recording_sink& first = fixture.start("r1");
    raw_socket server;
};

upstream_request request_without_id() {
    upstream_request request;
    request.method = "POST";
    request.target = "/work";
    request.headers = {{"Host", "x"}};
    request.body = "body";
    request.correlation_header = "X-Id";
    return request;
}

} // namespace

TEST_CASE("a response without an id on a reused connection fails the call as malformed") {
    refused_before context;
    auto& second = context.fixture.start("r2");
    REQUIRE(context.server.read_until("body").find("X-Id: r2") != std::string::npos);
    SECTION("a refusal") {
        context.server.send(refusal(""));
    }
    SECTION("a success") {
        context.server.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
    SECTION("a refusal after an interim response") {
        context.server.send("HTTP/1.1 100 Continue\r\n\r\n" + refusal(""));
    }
    SECTION("a refusal after the repetition of one with its id") {
        context.server.send(refusal("X-Id: r1\r\n") + refusal(""));
    }
    SECTION("a refusal whose body ends with the connection") {
        context.server.send("HTTP/1.1 503 Full\r\n\r\nnot run");
        context.server.close();
    }
    const auto received = wait_for_end(second);
    CHECK(received.failure == upstream_failure::malformed);
    CHECK(received.status == 0);
    CHECK(received.body.empty());
    CHECK_FALSE(received.is_complete);
}

TEST_CASE("a response without an id is accepted on a connection that carried no other request") {
    upstream_fixture fixture;
    auto& sink = fixture.start("r1");
    auto server = fixture.accept();
    server.read_until("body");
    server.send(refusal(""));
    const auto received = wait_for_end(sink);
    CHECK(received.is_complete);
    CHECK(received.status == 503);
}

TEST_CASE("the repetition of an earlier response isn't taken for the response of the next call") {
    refused_before context;
    const auto repeated = refusal("X-Id: r1\r\n");
    SECTION("sent before the response") {
        auto& second = context.fixture.start("r2");
        context.server.read_until("body");
        context.server.send(repeated + response_text("r2", "right"));
        const auto received = wait_for_end(second);
        CHECK(received.status == 200);
        CHECK(received.body == "right");
    }
    SECTION("sent long before the response") {
        auto& second = context.fixture.start("r2");
        context.server.read_until("body");
        context.server.send(repeated);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        context.server.send(response_text("r2", "right"));
        CHECK(wait_for_end(second).body == "right");
    }
    SECTION("as an interim response") {
        auto& second = context.fixture.start("r2");
        context.server.read_until("body");
        context.server.send("HTTP/1.1 102 Processing\r\nX-Id: r1\r\n\r\n" +
                            response_text("r2", "right"));
        CHECK(wait_for_end(second).body == "right");
    }
    SECTION("cut") {
        auto& second = context.fixture.start("r2");
        context.server.read_until("body");
        context.server.send(repeated.substr(0, repeated.size() - 3));
        context.server.close();
        CHECK(wait_for_end(second).failure == upstream_failure::closed);
    }
    SECTION("without length, so that its end isn't known") {
        auto& second = context.fixture.start("r2");
        context.server.read_until("body");
        context.server.send("HTTP/1.1 503 Full\r\nX-Id: r1\r\n\r\nnot run");
        CHECK(wait_for_end(second).failure == upstream_failure::malformed);
    }
    SECTION("while the connection is idle") {
        context.server.send(repeated);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        context.fixture.start("r2");
        auto other = accept_soon(context.fixture);
        REQUIRE(other.has_value());
        CHECK(other->read_until("body").find("X-Id: r2") != std::string::npos);
    }
    SECTION("while the connection is idle, before its arrival was handled") {
        context.fixture.thread.run([&] {
            context.server.send(repeated);
            context.fixture.calls.push_back(
                context.fixture.pool->start(context.fixture.address(), request_without_id(),
                                            context.fixture.sinks.emplace_back()));
        });
        CHECK(accept_soon(context.fixture).has_value());
    }
}

TEST_CASE("a repeated response that arrives with the end of the first ends the connection's use") {
    upstream_fixture fixture;
    auto& first = fixture.start("r1");
    auto server = fixture.accept();
    server.read_until("body");
    server.send(refusal("X-Id: r1\r\n") + refusal("").substr(0, 20));
    CHECK(wait_for_end(first).is_complete);
    fixture.start("r2");
    auto other = accept_soon(fixture);
    REQUIRE(other.has_value());
    CHECK(other->read_until("body").find("X-Id: r2") != std::string::npos);
}

TEST_CASE("a request isn't sent again on a connection that carried one with its id") {
    refused_before context;
    auto& other = context.fixture.start("r2");
    context.server.read_until("body");
    context.server.send(response_text("r2", "other"));
    wait_for_end(other);
    auto& again = context.fixture.start("r1");
    auto second_server = accept_soon(context.fixture);
    REQUIRE(second_server.has_value());
    second_server->read_until("body");
    second_server->send(response_text("r1", "right"));
    CHECK(wait_for_end(again).body == "right");
    auto& next = context.fixture.start("r3"); // both connections are idle
    second_server->read_until("body");
    second_server->send(response_text("r3", "next"));
    CHECK(wait_for_end(next).body == "next");
}

TEST_CASE("a request without an id is sent on a connection of its own") {
    refused_before context;
    auto& sink = context.fixture.start(context.fixture.address(), request_without_id());
    auto own = accept_soon(context.fixture);
    REQUIRE(own.has_value());
    own->read_until("body");
    own->send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine");
    CHECK(wait_for_end(sink).body == "fine");
    CHECK(own->read_all().empty()); // the pool closes it
}

TEST_CASE("a call without a correlation header reuses a connection and accepts any response") {
    upstream_fixture fixture;
    auto plain = request_without_id();
    plain.correlation_header.clear();
    auto& first = fixture.start(fixture.address(), plain);
    auto server = fixture.accept();
    server.read_until("body");
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
    CHECK(wait_for_end(first).body == "one");
    auto& second = fixture.start(fixture.address(), plain);
    server.read_until("body");
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
    CHECK(wait_for_end(second).body == "two");
}

TEST_CASE("the repetition of a response to HEAD doesn't take the call's own response as its body") {
    upstream_fixture fixture;
    upstream_request request;
    request.method = "HEAD";
    request.target = "/work";
    request.headers = {{"Host", "x"}};
    request.correlation_header = "X-Id";
    request.correlation_id = "r1";
    auto& first = fixture.start(fixture.address(), request);
    auto server = fixture.accept();
    server.read_until("\r\n\r\n");
    const std::string head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 500\r\n\r\n";
    server.send(head);
    REQUIRE(wait_for_end(first).is_complete);
    request.method = "GET";
    request.correlation_id = "r2";
    auto& second = fixture.start(fixture.address(), request);
    CHECK(server.read_all().empty()); // the pool has closed it, so a repetition can't be read
    auto other = accept_soon(fixture);
    REQUIRE(other.has_value());
    other->read_until("\r\n\r\n");
    other->send(response_text("r2", "own"));
    CHECK(wait_for_end(second).body == "own");
}
