// Guards against a server that ends before its first event and is taken for one that answered.
#include "request_flow_fixture.h"

#include <catch2/catch.hpp>

using namespace camphorgrade;
using namespace camphorgrade::entry;

TEST_CASE("a stream without length that ends before its first event isn't complete") {
    flow_fixture context(serving::request_kind::streaming, false,
                         {"HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: r1\r\n"
                          "Content-Type: text/event-stream\r\n\r\n"});
    const auto response = context.run();
    CHECK(response.status == 502);
}

TEST_CASE("a server that ends before its first event hasn't begun to answer") {
    flow_fixture context(serving::request_kind::streaming, false,
                         {"HTTP/1.1 200 OK\r\nX-Seal: s\r\nX-Id: r1\r\n"
                          "Content-Type: text/event-stream\r\n\r\n"});
    context.run();
    CHECK(context.flow->time_to_first_byte() < duration::zero());
}

TEST_CASE("a server that ends within its first event hasn't begun to answer") {
    const auto part = GENERATE(as<std::string>{}, ": waiting\n\n", "id: 1\ndata: a");
    flow_fixture context(serving::request_kind::streaming, false, {stream_head + part});
    const auto response = context.run();
    CHECK(response.status == 502);
    CHECK(context.flow->time_to_first_byte() < duration::zero());
}
