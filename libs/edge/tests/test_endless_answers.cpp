#include "upstream_fixture.h"

#include <edge/buffered_calls.h>

#include <future>
#include <memory>
#include <string>

using namespace camphorgrade;
using namespace camphorgrade::edge;
using namespace camphorgrade::testing;

namespace {

// A sender that isn't cut off stops here.
constexpr std::size_t enough_bytes = std::size_t{32} * 1024 * 1024;
// What the sockets of both sides may hold beyond what the pool reads.
constexpr std::size_t most_bytes = enough_bytes / 2;

const std::string ok_head = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n";
const std::string many_letters(4'096, 'a');

/** A server sends `begin`, then `more` without end. */
struct endless_answer {
    const char* what;
    std::string begin;
    std::string more;
};

const endless_answer endless_answers[] = {
    {"a status line", "HTTP/1.1 200 ", many_letters},
    {"one header line", ok_head + "X-Long: ", many_letters},
    {"header lines", ok_head, "X-More: and more\r\n"},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"the line of a chunk's size", ok_head + "Transfer-Encoding: chunked\r\n\r\n", "0000000000"},
    {"a chunk's extension", ok_head + "Transfer-Encoding: chunked\r\n\r\n4;x=", many_letters},
    {"a trailer's line",
     ok_head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\nX-T: ", many_letters},
    {"trailer lines", ok_head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n",
     "X-More: and more\r\n"},
    {"answers of other requests", "",
     "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 4\r\n\r\nlate"},
    {"the body of another request's answer", "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n",
     many_letters},
};

} // namespace

TEST_CASE("bytes without end that are no answer end the call and its connection") {
    for (const auto& each : endless_answers) {
        DYNAMIC_SECTION(each.what) {
            upstream_fixture with;
            auto& sink = with.start();
            auto server = with.accept();
            server.read_until("body");
            server.send(each.begin);
            CHECK(server.send_endlessly(each.more, enough_bytes) < most_bytes);
            CHECK(end_of(sink).failure == upstream_failure::broken);
            with.start("r2");
            auto other = with.accept(); // the first connection isn't used again
            CHECK(other.read_until("body").find("X-Id: r2") != std::string::npos);
        }
    }
}

TEST_CASE("a late answer of another request is still passed over, interim answers too") {
    upstream_fixture with;
    auto& sink = with.start();
    auto server = with.accept();
    server.read_until("body");
    server.send("HTTP/1.1 100 Continue\r\n\r\n" + answer("r0", std::string(60'000, 'x')) +
                "HTTP/1.1 102 Processing\r\n\r\n" + answer("r1", "right"));
    CHECK(end_of(sink).body == "right");
}

TEST_CASE("a buffered call whose answer never ends is broken off") {
    upstream_fixture with;
    std::promise<call_outcome> ended;
    std::unique_ptr<buffered_calls> calls;
    with.thread.run([&] {
        calls = std::make_unique<buffered_calls>(with.thread.loop, *with.pool);
        calls->start(with.address(), {"GET", "/", {{"Host", "x"}}, "", "", ""}, duration{20'000},
                     [&](call_outcome how, const buffered_response&) { ended.set_value(how); });
    });
    auto server = with.accept();
    server.read_until("\r\n\r\n");
    server.send("HTTP/1.1 200 OK\r\n\r\n");
    CHECK(server.send_endlessly(many_letters, enough_bytes) < most_bytes);
    auto future = ended.get_future();
    REQUIRE(future.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    CHECK(future.get() == call_outcome::broken);
    with.thread.run([&] { calls.reset(); });
}

TEST_CASE("a call that must end soon is broken when it doesn't") {
    upstream_fixture with;
    auto& sink = with.start();
    auto server = with.accept();
    server.read_until("body");
    server.send(ok_head + "Content-Length: 10\r\n\r\n123");
    sink.heads.get_future().wait();
    with.thread.run([&] { with.calls.back()->set_timeout(duration{50}); });
    CHECK(end_of(sink).failure == upstream_failure::broken);
}
