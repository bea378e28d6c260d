#include "request_flow_fixture.h"

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::entry;
using kind = serving::request_kind;

TEST_CASE("a whole response is forwarded unchanged") {
    flow_fixture context(kind::idempotent, false, {make_response("200 OK", "fine")});
    const auto response = context.run();
    CHECK(response.status == 200);
    CHECK(response.body == "fine");
}

TEST_CASE("a successful response without the backend server's seal isn't forwarded") {
    flow_fixture context(kind::non_idempotent, false, {make_response("200 OK", "forged", "")});
    CHECK(context.run().status == 502);
}

TEST_CASE("a server's whole error response is forwarded when the next attempt brings no answer") {
    flow_fixture context(kind::idempotent, false,
                         {make_response("500 Error", "sorry"), "nonsense\r\n\r\n"});
    const auto response = context.run();
    CHECK(context.server.requests.size() == 2);
    CHECK(response.status == 500);
    CHECK(response.body == "sorry");
}

TEST_CASE("a request that a server didn't run goes to another even if it may not be repeated") {
    flow_fixture context(
        kind::non_idempotent, false,
        {make_response("503 Full", "", "X-Not-Run: 1\r\n"), make_response("200 OK", "booked")});
    CHECK(context.run().body == "booked");
}

TEST_CASE("a request that may not be repeated isn't sent again after its connection broke") {
    flow_fixture context(kind::non_idempotent, false, {"", make_response("200 OK", "twice")});
    const auto response = context.run();
    CHECK(context.server.requests.size() == 1);
    CHECK(response.status == 502);
}

TEST_CASE("a resumable stream continues at another server after its last whole event") {
    flow_fixture context(kind::streaming, true,
                         {stream_head + "id: 1\n\nid: 2\n\nid: 3",
                          stream_head.substr(0, stream_head.find("Content-Length")) +
                              "Connection: close\r\n\r\nid: 3\n\nid: 4\n\n"});
    const auto response = context.run();
    CHECK(response.body == "id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n");
    CHECK(response.is_finished);
    REQUIRE(context.server.requests.size() == 2);
    CHECK(context.server.requests[1].find("X-After: 2") != std::string::npos);
    const std::vector<stream_attempt_report> expected{
        {std::nullopt, 2, 2, 5, body_end::closed},
        {2, 4, 2, 0, body_end::end_with_connection, true, true, false, process_state::alive}};
    CHECK(context.stream_attempts == expected);
}

TEST_CASE("a stream that may not be resumed is aborted when its connection breaks") {
    flow_fixture context(kind::streaming, false, {stream_head + "id: 1\n\nid: 2"});
    const auto response = context.run();
    CHECK(context.server.requests.size() == 1);
    CHECK(response.is_aborted);
    CHECK_FALSE(response.is_finished);
}

TEST_CASE("a refusal is valid whatever follows its head") {
    const std::string head = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n";
    const std::string booked = make_response("200 OK", "booked");
    SECTION("an incomplete body") {
        flow_fixture context(kind::non_idempotent, false,
                             {head + "Content-Length: 9\r\n\r\nsor", booked});
        CHECK(context.run().body == "booked");
    }
    SECTION("a body above the size limit of a refusal") {
        flow_fixture context(kind::non_idempotent, false,
                             {head + "\r\n" + std::string(1'000'000, 'x'), booked});
        CHECK(context.run().body == "booked");
    }
}

TEST_CASE("an endless body is aborted at a size limit, before it fills the memory") {
    std::string endless;
    endless.resize(9'000'000, 'x');
    SECTION("of a response that is buffered until it is whole") {
        flow_fixture context(kind::non_idempotent, false,
                             {"HTTP/1.1 200 OK\r\nX-Seal: s\r\n\r\n" + endless});
        const auto response = context.run();
        CHECK(response.status == 502);
        CHECK(response.body.size() < 1'000);
    }
    SECTION("of an event of a stream that may be resumed") {
        const auto head = stream_head.substr(0, stream_head.find("Content-Length"));
        flow_fixture context(
            kind::streaming, true,
            {head + "\r\nid: 1\n\n" + endless, head + "Connection: close\r\n\r\nid: 2\n\n"});
        const auto response = context.run();
        CHECK(response.body == "id: 1\n\nid: 2\n\n");
        CHECK(response.is_finished);
    }
}

TEST_CASE("a server that announces that it is leaving isn't used for the next attempt") {
    flow_fixture context(kind::idempotent, false,
                         {make_response("500 Error", "sorry", "X-Seal: s\r\nX-Leaving: 1\r\n"),
                          make_response("200 OK", "fine")});
    CHECK(context.run().body == "fine");
    int leaving = 0;
    for (const auto& [id, view] : context.dispatcher_.backends().all()) {
        leaving += view.is_leaving ? 1 : 0;
    }
    CHECK(leaving == 1);
}
