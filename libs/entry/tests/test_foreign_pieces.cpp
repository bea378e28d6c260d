// Guards against pieces of another response in a response without length (incident MIXED).
#include "request_flow_fixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace camphorgrade;
using namespace camphorgrade::entry;
using kind = serving::request_kind;

namespace {

std::string event(int id, const std::string& data) {
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

/** The head of an event stream that ends with its connection. */
std::string stream_begin(const std::string& id = "r1") {
    return "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: " + id +
           "\r\nContent-Type: text/event-stream\r\n\r\n";
}

const std::string own_events = event(1, "a1") + event(2, "a2");
const std::string own_stream = stream_begin() + own_events;
const std::string other_stream = stream_begin("other") + event(7, "x7");

std::string plain_response(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: r1\r\n\r\n" + body;
}

} // namespace

TEST_CASE("a stream that its server sends twice isn't forwarded as one") {
    flow_fixture context(kind::streaming, false, {own_stream + own_stream});
    const auto response = context.run();
    CHECK(response.body == own_events);
    CHECK(response.is_aborted);
    CHECK_FALSE(response.is_finished);
}

TEST_CASE("a piece of another stream isn't forwarded") {
    const auto first =
        GENERATE(as<std::string>{}, stream_begin() + event(1, "a1") + other_stream + event(2, "a2"),
                 stream_begin() + event(1, "a1") + "id: 2\ndata: a" + other_stream + event(2, "a2"),
                 stream_begin() + event(1, "a1") + "HTTP/1.1 503 Full\r\nX-Id: other\r\n\r\n");
    SECTION("and the stream goes on at another server") {
        flow_fixture context(kind::streaming, true, {first, stream_begin() + event(2, "b2")});
        const auto response = context.run();
        CHECK(response.body == event(1, "a1") + event(2, "b2"));
        CHECK(response.is_finished);
    }
    SECTION("and a stream that may not be resumed is aborted") {
        flow_fixture context(kind::streaming, false, {first, stream_begin() + event(2, "b2")});
        const auto response = context.run();
        CHECK(response.body == event(1, "a1"));
        CHECK(response.is_aborted);
        CHECK(context.server.requests.size() == 1);
    }
}

TEST_CASE("a stream without length whose ids go back is broken off") {
    const auto later = GENERATE(as<std::string>{}, event(1, "a1"), event(2, "x"));
    flow_fixture context(kind::streaming, false, {own_stream + later + event(3, "a3")});
    const auto response = context.run();
    CHECK(response.body == own_events);
    CHECK(response.is_aborted);
}

TEST_CASE("a plain response that its server sends twice isn't passed on") {
    const auto twice = plain_response("whole") + plain_response("whole");
    SECTION("an idempotent request gets the response of another server") {
        flow_fixture context(kind::idempotent, false, {twice, plain_response("other")});
        const auto response = context.run();
        CHECK(response.status == 200);
        CHECK(response.body == "other");
    }
    SECTION("any other request fails, as one that may have run") {
        flow_fixture context(kind::non_idempotent, false, {twice, plain_response("other")});
        const auto response = context.run();
        CHECK(response.status == 502);
        CHECK(response.body.find("unknown") != std::string::npos);
        CHECK(context.server.requests.size() == 1);
    }
}

TEST_CASE("a response that can't be told from another one isn't a crash of its request") {
    const auto response = GENERATE(as<std::string>{}, own_stream + own_stream,
                                   plain_response("whole") + plain_response("whole"));
    flow_fixture context(kind::non_idempotent, false, {response});
    context.run();
    CHECK(context.server.requests.size() == 1);
    CHECK(context.dispatcher().crashes().newest(1).empty());
}

TEST_CASE("a resumed stream without length that ends before its first event isn't complete") {
    flow_fixture context(kind::streaming, true,
                         {stream_head + event(1, "a1") + "id: 2\nda", stream_begin()});
    const auto response = context.run();
    CHECK(response.body == event(1, "a1"));
    CHECK_FALSE(response.is_finished);
}

TEST_CASE("an interim response within a stream isn't forwarded as an event") {
    const auto next = GENERATE(as<std::string>{}, "", other_stream);
    flow_fixture context(
        kind::streaming, false,
        {stream_begin() + event(1, "a1") + "HTTP/1.1 100 Continue\r\n\r\n" + next});
    const auto response = context.run();
    CHECK(response.body == event(1, "a1"));
    CHECK(response.is_aborted);
}
