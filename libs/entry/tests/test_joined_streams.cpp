// Guards against pieces of an event stream that no run made (incident ORDER).
#include "request_flow_fixture.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdio>

using namespace camphorgrade;
using namespace camphorgrade::entry;
using kind = serving::request_kind;

namespace {

const std::string head = "HTTP/1.1 200 OK\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n";
const std::string until_close = head + "Connection: close\r\n\r\n";
const std::string with_length = head + "Content-Length: 400\r\n\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string last_chunk = "0\r\n\r\n";

std::string chunk(const std::string& bytes) {
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

std::string event(int id, const std::string& data) {
    return "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
}

const std::string second_run = event(1, "b1") + event(2, "b2");

} // namespace

TEST_CASE("a stream that breaks within its first event isn't joined with the next run") {
    const auto partial =
        GENERATE(as<std::string>{}, "i", "id: 1\n", "id: 1\ndata: a", "id: 1\ndata: a1\n", "\n");
    const auto begin = GENERATE(as<std::string>{}, "length", "chunks");
    const auto first = begin == "length" ? with_length + partial : chunked + chunk(partial);
    flow_fixture context(kind::streaming, true, {first, until_close + second_run});
    const auto response = context.run();
    CHECK(response.body == second_run);
    CHECK(response.is_finished);
    REQUIRE(context.server.requests.size() == 2);
    CHECK(context.server.requests[1].find("X-After") == std::string::npos);
}

TEST_CASE("a stream whose body ends within an event isn't complete") {
    const auto cut = event(1, "a1") + "id: 2\ndata: a";
    const auto first =
        GENERATE_COPY(as<std::string>{}, until_close + cut, chunked + chunk(cut) + last_chunk,
                      head + "Content-Length: " + std::to_string(cut.size()) + "\r\n\r\n" + cut);
    SECTION("and continues at another server") {
        flow_fixture context(kind::streaming, true, {first, until_close + event(2, "b2")});
        const auto response = context.run();
        CHECK(response.body == event(1, "a1") + event(2, "b2"));
        CHECK(response.is_finished);
        REQUIRE(context.server.requests.size() == 2);
        CHECK(context.server.requests[1].find("X-After: 1") != std::string::npos);
    }
    SECTION("and is aborted after its whole events if it may not be resumed") {
        flow_fixture context(kind::streaming, false, {first, until_close + event(2, "b2")});
        const auto response = context.run();
        CHECK(response.body == event(1, "a1"));
        CHECK(response.is_aborted);
        CHECK_FALSE(response.is_finished);
        CHECK(context.server.requests.size() == 1);
    }
}

TEST_CASE("a run that doesn't continue after the last forwarded event isn't joined") {
    const auto first = with_length + event(1, "a1") + event(2, "a2");
    const auto repeated =
        GENERATE(as<std::string>{}, event(1, "b1") + event(2, "b2") + event(3, "b3"),
                 event(2, "b2") + event(3, "b3"), "data: without an id\n\n" + event(3, "b3"));
    flow_fixture context(kind::streaming, true, {first, until_close + repeated});
    const auto response = context.run();
    CHECK(response.body == event(1, "a1") + event(2, "a2"));
    CHECK(response.is_aborted);
    CHECK_FALSE(response.is_finished);
}

TEST_CASE("a stream whose position isn't known isn't resumed") {
    const auto events =
        GENERATE(as<std::string>{}, "data: without an id\n\n",
                 event(1, "a1") + "data: without an id\n\n", "id: one\ndata: a1\n\n",
                 "id: 1x\ndata: a1\n\n", "id: 99999999999999999999999\ndata: a1\n\n");
    flow_fixture context(kind::streaming, true,
                         {with_length + events + "data: cut", until_close + second_run});
    const auto response = context.run();
    CHECK(response.body == events);
    CHECK(response.is_aborted);
    CHECK_FALSE(response.is_finished);
    CHECK(context.server.requests.size() == 1);
}

// Guards against the review's case 5: a server wrote an event twice, and its caller got it twice in
// a response that ended as complete.
TEST_CASE("an event whose id doesn't rise ends its run, and another server goes on") {
    const auto repeated = GENERATE(as<std::string>{}, event(2, "a2"), event(1, "a1"));
    const auto framing = GENERATE(as<std::string>{}, with_length, until_close);
    const auto first = event(1, "a1") + event(2, "a2");
    flow_fixture context(
        kind::streaming, true,
        {framing + first + repeated + event(3, "a3"), until_close + event(3, "b3")});
    const auto response = context.run();
    CHECK(response.body == first + event(3, "b3"));
    CHECK(context.server.requests.size() == 2);

    flow_fixture once(kind::streaming, false, {framing + first + repeated + event(3, "a3")});
    const auto cut = once.run();
    CHECK(cut.body == first);
    CHECK(cut.is_aborted);
    CHECK_FALSE(cut.is_finished);
}

TEST_CASE("comments and events with carriage returns are forwarded unchanged and resumed") {
    const std::string first = "id: 1\r\ndata: a1\r\n\r\n: still there\r\n\r\n";
    const std::string second = "id: 2\r\ndata: b2\r\n\r\n";
    flow_fixture context(kind::streaming, true,
                         {with_length + first + "id: 2\r\ndata: a2\r\n", until_close + second});
    const auto response = context.run();
    CHECK(response.body == first + second);
    CHECK(response.is_finished);
}
