// Guards against a response that a crash broke off and that reaches its caller as complete.
#include "request_flow_fixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace camphorgrade;
using namespace camphorgrade::entry;
using kind = serving::request_kind;

namespace {

const std::string sealed = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: r1\r\n";
const std::string stream_begin = sealed + "Content-Type: text/event-stream\r\n\r\n";

std::string event(int id, const std::string& data) {
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

const std::string events = event(1, "a1") + event(2, "a2");

} // namespace

TEST_CASE("a stream whose server crashes between two events isn't complete") {
    const auto body = GENERATE(as<std::string>{}, events, events + "\n\n", events + "id: 3\n\n");
    SECTION("and is aborted if it may not be resumed") {
        flow_fixture context(kind::streaming, false, {stream_begin + body});
        context.server.crash_after_last_script();
        const auto response = context.run();
        CHECK(response.body == body);
        CHECK(response.is_aborted);
        CHECK_FALSE(response.is_finished);
    }
    SECTION("and continues at another server") {
        flow_fixture context(kind::streaming, true, {stream_begin + events});
        context.server.crash_after_last_script();
        context.add_second_server({stream_begin + event(3, "b3")});
        const auto response = context.run();
        CHECK(response.body == events + event(3, "b3"));
        CHECK(response.is_finished);
        REQUIRE(context.second_server->requests.size() == 1);
        CHECK(context.second_server->requests[0].find("X-After: 2") != std::string::npos);
    }
}

TEST_CASE("a stream is known by its route or any of its content types, in any case") {
    const auto types =
        GENERATE(as<std::string>{}, "Content-Type: Text/Event-Stream; charset=utf-8\r\n", "",
                 "Content-Type: text/plain\r\nContent-Type: text/event-stream\r\n",
                 "Content-Type: text/plain, text/event-stream\r\n");
    const auto cut = sealed + types + "\r\n" + event(1, "a1") + "id: 2\nda";
    SECTION("so that one that ends within an event isn't complete") {
        flow_fixture context(kind::streaming, false, {cut});
        const auto response = context.run();
        CHECK(response.body == event(1, "a1"));
        CHECK(response.is_aborted);
        CHECK_FALSE(response.is_finished);
    }
    SECTION("so that it can be resumed") {
        flow_fixture context(kind::streaming, true, {cut, stream_begin + event(2, "b2")});
        const auto response = context.run();
        CHECK(response.body == event(1, "a1") + event(2, "b2"));
        CHECK(response.is_finished);
    }
}

TEST_CASE("a plain response whose server crashes isn't complete") {
    const auto body = GENERATE(as<std::string>{}, "{\"a\": [1, 2", "");
    SECTION("an idempotent request gets the response of another server") {
        flow_fixture context(kind::idempotent, false, {sealed + "\r\n" + body});
        context.server.crash_after_last_script();
        context.add_second_server({make_response("200 OK", "other", "X-Seal: s\r\nX-Id: r1\r\n")});
        const auto response = context.run();
        CHECK(response.status == 200);
        CHECK(response.body == "other");
    }
    SECTION("any other request fails, as one that may have run") {
        flow_fixture context(kind::non_idempotent, false, {sealed + "\r\n" + body});
        context.server.crash_after_last_script();
        const auto response = context.run();
        CHECK(response.status == 502);
        CHECK(response.body.find("unknown") != std::string::npos);
    }
}

TEST_CASE("a response without length of a process that lives on is complete") {
    SECTION("a stream") {
        flow_fixture context(kind::streaming, false, {stream_begin + events});
        const auto response = context.run();
        CHECK(response.body == events);
        CHECK(response.is_finished);
    }
    SECTION("a plain response") {
        flow_fixture context(kind::non_idempotent, false, {sealed + "\r\nwhole"});
        const auto response = context.run();
        CHECK(response.status == 200);
        CHECK(response.body == "whole");
    }
}
