// Guards against a response with an invalid status being skipped, and the bytes of its body being
// read as the response (incident MIXED).
#include "upstream_fixture.h"

#include <string>

using namespace camphorgrade;
using namespace camphorgrade::edge;
using namespace camphorgrade::testing;

namespace {

call_result play(const std::string& bytes) {
    upstream_fixture fixture;
    auto& sink = fixture.start("r1");
    auto server = fixture.accept();
    server.read_until("body");
    server.send(bytes);
    server.close();
    return wait_for_end(sink);
}

std::string response_with(const std::string& status, const std::string& body) {
    return "HTTP/1.1 " + status +
           " X\r\nX-Id: r1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_CASE(
    "a response whose status isn't one of HTTP fails, and its body isn't read as a response") {
    for (const std::string status : {"000", "001", "099", "101", "600", "999"}) {
        for (const auto& body :
             {std::string("in trouble"), response_text("r1", "not a response")}) {
            INFO(status << " with the body " << body);
            const auto received = play(response_with(status, body));
            CHECK_FALSE(received.is_complete);
            CHECK(received.failure == upstream_failure::malformed);
            CHECK(received.status == 0);
            CHECK(received.body.empty());
        }
    }
}

TEST_CASE("interim responses come before the response") {
    const auto received =
        play("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
             response_text("r1", "done"));
    CHECK(received.is_complete);
    CHECK(received.status == 200);
    CHECK(received.body == "done");
}
