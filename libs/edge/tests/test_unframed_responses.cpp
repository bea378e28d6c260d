// Guards against bytes of another response in a response without length (incident MIXED).
#include "upstream_fixture.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>

using namespace camphorgrade;
using namespace camphorgrade::edge;
using namespace camphorgrade::testing;

namespace {

/** A response whose body ends with its connection. */
std::string unframed(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\n\r\n" + body;
}

/** A server that responded to request "r1" on a connection and got "r2" on it. */
struct second_request {
    second_request() : server(fixture.accept()) {
        server.read_until("body");
        server.send(response_text("r1", "first"));
        REQUIRE(wait_for_end(first).is_complete);
        second = &fixture.start("r2");
        REQUIRE(server.read_until("body").find("X-Id: r2") != std::string::npos);
    }

    upstream_fixture fixture;
    recording_sink& first = fixture.start("r1");
    raw_socket server;
    recording_sink* second = nullptr;
};

void check_is_rejected(const call_result& received) {
    CHECK_FALSE(received.is_complete);
    CHECK(received.failure == upstream_failure::malformed);
    CHECK(received.body.find("HTTP/1.") == std::string::npos);
    CHECK(received.body.find("first") == std::string::npos);
}

/** Plays a server that sends `bytes` as two writes, the second from `split` on, and closes. */
call_result play(const std::string& bytes, std::size_t split) {
    upstream_fixture fixture;
    auto& sink = fixture.start("r1");
    auto server = fixture.accept();
    server.read_until("body");
    server.send(bytes.substr(0, split));
    if (split < bytes.size()) {
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        server.send(bytes.substr(split));
    }
    server.close();
    return wait_for_end(sink);
}

} // namespace

TEST_CASE("a response without length that is followed by another response isn't complete") {
    const auto next =
        GENERATE(as<std::string>{}, unframed("r1", "whole"), response_text("other", "late"),
                 "HTTP/1.0 503 Full\r\nX-Id: r1\r\n", "HTTP/1.1 200 \r\nX-Id: r1\r\n\r\n");
    const auto separator = GENERATE(as<std::string>{}, "", "\n", "\r\n\r\n");
    const auto received = play(unframed("r1", "whole" + separator) + next, 10'000);
    check_is_rejected(received);
    CHECK(received.body == "whole" + separator);
}

TEST_CASE("a following response is found wherever it is divided") {
    const auto body = unframed("r1", "whole");
    const auto bytes = body + unframed("r1", "whole");
    for (auto split = body.size() - 6; split < bytes.size(); ++split) {
        CAPTURE(split);
        check_is_rejected(play(bytes, split));
    }
}

TEST_CASE("a response without length isn't complete if the next one is cut in its status line") {
    const auto next = std::string("HTTP/1.1 200 OK\r\nX");
    for (std::size_t length = 5; length <= next.size(); ++length) {
        CAPTURE(length);
        check_is_rejected(play(unframed("r1", "whole") + next.substr(0, length), 10'000));
    }
}

TEST_CASE("a late repetition isn't read as a part of the next response without length") {
    second_request context;
    const auto repeated =
        GENERATE(as<std::string>{}, response_text("r1", "first"), unframed("r1", "first"), "first");
    context.server.send(unframed("r2", "sec"));
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    context.server.send(repeated + "ond");
    context.server.close();
    check_is_rejected(wait_for_end(*context.second));
}

TEST_CASE("a server that responds without length gets each request on a connection of its own") {
    second_request context;
    context.server.send(unframed("r2", "second"));
    context.server.close();
    check_is_rejected(wait_for_end(*context.second));
    for (const auto* id : {"r3", "r4"}) {
        auto& sink = context.fixture.start(id);
        auto server = context.fixture.accept();
        server.read_until("body");
        server.send(response_text(id, "framed"));
        CHECK(wait_for_end(sink).is_complete);
        CHECK(server.read_all().empty()); // the pool closes the connection
    }
    auto& sink = context.fixture.start("r5");
    auto server = context.fixture.accept();
    server.read_until("body");
    server.send(unframed("r5", "unframed"));
    server.close();
    const auto received = wait_for_end(sink);
    CHECK(received.is_complete);
    CHECK(received.body == "unframed");
}

TEST_CASE("a whole response without length is complete and unchanged") {
    const auto body =
        GENERATE(as<std::string>{}, "", "H", "HTTP", "HTTPS/1.1 200 OK\r\nX-Id: r1\r\n",
                 "in HTTP/1.1 200 OK means success\n", "HTTP/1.1 200 OK\ndata: x\n\n",
                 "HTTP/1.1 is used", "quoted: HTTP/1.1 200 OK\r\n\r\n",
                 "HHTTP/1.HTTP/1.1 2 HTTP/1.1 20x", "id: 1\r\ndata: \"HTTP/1.1 200 OK\"\r\n\r\n");
    const auto bytes = unframed("r1", body);
    for (auto split = bytes.size() - body.size(); split <= bytes.size(); ++split) {
        const auto received = play(bytes, split);
        CAPTURE(split);
        CHECK(received.is_complete);
        CHECK(received.body == body);
    }
}

TEST_CASE("an event stream with CR LF lines may quote a status line before another field") {
    const auto body = GENERATE(as<std::string>{}, "data: HTTP/1.1 200 OK\r\nid: 1\r\n\r\n",
                               "id: 1\r\ndata: HTTP/1.1 200 OK\r\ndata: second line\r\n\r\n");
    const auto received = play(unframed("r1", body), 10'000);
    CHECK(received.is_complete);
    CHECK(received.body == body);
}
