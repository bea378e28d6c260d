#include "upstream_fixture.h"

#include <edge/buffered_calls.h>

#include <future>
#include <memory>
#include <string>

using namespace camphorgrade;
using namespace camphorgrade::edge;
using namespace camphorgrade::testing;

namespace {

// The test server stops here if the pool doesn't close the connection.
constexpr std::size_t max_sent_bytes = std::size_t{32} * 1024 * 1024;
// Leaves room for the bytes in the socket buffers of both sides, which the pool does not read.
constexpr std::size_t max_accepted_bytes = max_sent_bytes / 2;

const std::string ok_head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n";
const std::string long_text(4'096, 'a');

/** The server sends `prefix`, then `repeated` without end. */
struct endless_response {
    const char* description;
    std::string prefix;
    std::string repeated;
};

const endless_response endless_responses[] = {
    {"a status line", "HTTP/1.1 200 ", long_text},
    {"one header line", ok_head + "X-Long: ", long_text},
    {"header lines", ok_head, "X-More: and more\r\n"},
    {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"the line of a chunk's size", ok_head + "Transfer-Encoding: chunked\r\n\r\n", "0000000000"},
    {"a chunk's extension", ok_head + "Transfer-Encoding: chunked\r\n\r\n4;x=", long_text},
    {"a trailer's line",
     ok_head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX-T: ", long_text},
    {"trailer lines", ok_head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
     "X-More: and more\r\n"},
    {"responses to other requests", "",
     "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 4\r\n\r\nlate"},
    {"the body of a response to another request", "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n",
     long_text},
};

} // namespace

TEST_CASE("endless bytes outside the response body fail the call and close its connection") {
    for (const auto& each : endless_responses) {
        DYNAMIC_SECTION(each.description) {
            upstream_fixture fixture;
            auto& sink = fixture.start();
            auto server = fixture.accept();
            server.read_until("body");
            server.send(each.prefix);
            CHECK(server.send_endlessly(each.repeated, max_sent_bytes) < max_accepted_bytes);
            CHECK(wait_for_end(sink).failure == upstream_failure::malformed);
            fixture.start("r2");
            auto new_connection = fixture.accept(); // the first connection isn't reused
            CHECK(new_connection.read_until("body").find("X-Id: r2") != std::string::npos);
        }
    }
}

TEST_CASE("a late response to another request and interim responses are skipped") {
    upstream_fixture fixture;
    auto& sink = fixture.start();
    auto server = fixture.accept();
    server.read_until("body");
    server.send("HTTP/1.1 100 Continue\r\n\r\n" + response_text("r0", std::string(60'000, 'x')) +
                "HTTP/1.1 102 Processing\r\n\r\n" + response_text("r1", "right"));
    CHECK(wait_for_end(sink).body == "right");
}

TEST_CASE("a buffered call whose response never ends fails") {
    upstream_fixture fixture;
    std::promise<call_outcome> ended;
    std::unique_ptr<buffered_calls> calls;
    fixture.thread.run([&] {
        calls = std::make_unique<buffered_calls>(fixture.thread.loop, *fixture.pool);
        calls->start(
            fixture.address(), {"GET", "/", {{"Host", "x"}}, "", "", ""}, duration{20'000},
            [&](call_outcome outcome, const buffered_response&) { ended.set_value(outcome); });
    });
    auto server = fixture.accept();
    server.read_until("\r\n\r\n");
    server.send("HTTP/1.1 200 OK\r\n\r\n");
    CHECK(server.send_endlessly(long_text, max_sent_bytes) < max_accepted_bytes);
    auto future = ended.get_future();
    REQUIRE(future.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    CHECK(future.get() == call_outcome::broken);
    fixture.thread.run([&] { calls.reset(); });
}

TEST_CASE("a call that exceeds its timeout fails") {
    upstream_fixture fixture;
    auto& sink = fixture.start();
    auto server = fixture.accept();
    server.read_until("body");
    server.send(ok_head + "Content-Length: 10\r\n\r\n123");
    sink.head_promise.get_future().wait();
    fixture.thread.run([&] { fixture.calls.back()->set_timeout(duration{50}); });
    CHECK(wait_for_end(sink).failure == upstream_failure::timed_out);
}
