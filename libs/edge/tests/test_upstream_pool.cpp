#include "upstream_fixture.h"

#include <edge/buffered_calls.h>

#include <future>
#include <memory>
#include <string>

using namespace camphorgrade;
using namespace camphorgrade::edge;
using namespace camphorgrade::testing;

TEST_CASE("a request is sent as given, and its whole answer comes back") {
    upstream_fixture with;
    auto& sink = with.start();
    auto server = with.accept();
    const auto request = server.read_until("body");
    CHECK(request.find("POST /work HTTP/1.1\r\n") == 0);
    CHECK(request.find("Content-Length: 4\r\n") != std::string::npos);
    server.send(answer("r1", "fine"));
    const auto got = end_of(sink);
    CHECK(got.is_whole);
    CHECK(got.body == "fine");
}

TEST_CASE("a connection is used again after a whole answer") {
    upstream_fixture with;
    auto& first = with.start();
    auto server = with.accept();
    server.read_until("body");
    server.send(answer("r1", "one"));
    CHECK(end_of(first).body == "one");
    auto& second = with.start("r2");
    CHECK(server.read_until("body").find("X-Id: r2") != std::string::npos);
    server.send(answer("r2", "two"));
    CHECK(end_of(second).body == "two");
}

TEST_CASE("an answer that belongs to another request is passed over") {
    upstream_fixture with;
    auto& sink = with.start("r2");
    auto server = with.accept();
    server.read_until("body");
    server.send(answer("r1", "late") + answer("r2", "right"));
    CHECK(end_of(sink).body == "right");
}

TEST_CASE("bytes behind a whole answer end the connection's use") {
    upstream_fixture with;
    auto& sink = with.start();
    auto server = with.accept();
    server.read_until("body");
    server.send(answer("r1", "fine") + answer("r1", "fine"));
    CHECK(end_of(sink).is_whole);
    with.start("r2");
    auto other = with.accept();
    CHECK(other.read_until("body").find("X-Id: r2") != std::string::npos);
}

TEST_CASE("an answer that is cut is not whole") {
    upstream_fixture with;
    auto& sink = with.start();
    auto server = with.accept();
    server.read_until("body");
    SECTION("before its length") {
        server.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 10\r\n\r\npart");
        server.close();
    }
    SECTION("before its last chunk") {
        server.send(
            "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
        server.close();
    }
    SECTION("by a reset, where it has no length") {
        server.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\npart");
        sink.heads.get_future().wait();
        server.reset();
    }
    SECTION("before its head") {
        server.close();
    }
    SECTION("with what is no answer") {
        server.send("nonsense\r\n\r\n");
    }
    CHECK(end_of(sink).failure == upstream_failure::broken);
}

TEST_CASE("an answer without length is whole when its connection ends in order") {
    upstream_fixture with;
    auto& sink = with.start();
    auto server = with.accept();
    server.read_until("body");
    server.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nall of it");
    server.close();
    const auto got = end_of(sink);
    CHECK(got.is_whole);
    CHECK(got.body == "all of it");
}

TEST_CASE("a call to nobody says that nothing was sent") {
    upstream_fixture with;
    const auto address = with.address();
    with.listener.close();
    auto& sink = with.start(address, {"GET", "/", {}, "", "", ""});
    CHECK(end_of(sink).failure == upstream_failure::not_connected);
}

TEST_CASE("giving up a call resets its connection") {
    upstream_fixture with;
    with.start();
    auto server = with.accept();
    server.read_until("body");
    with.thread.run([&] { with.calls.clear(); });
    server.read_all();
    CHECK(server.was_reset());
}

TEST_CASE("giving up a finished call leaves the next one on its connection alone") {
    upstream_fixture with;
    auto& first = with.start();
    auto server = with.accept();
    server.read_until("body");
    server.send(answer("r1", "one"));
    end_of(first);
    auto& second = with.start("r2");
    server.read_until("body");
    with.thread.run([&] { with.calls.erase(with.calls.begin()); });
    server.send(answer("r2", "two"));
    CHECK(end_of(second).body == "two");
}

TEST_CASE("a buffered call that isn't answered in time ends") {
    upstream_fixture with;
    std::promise<call_outcome> ended;
    std::unique_ptr<buffered_calls> calls;
    with.thread.run([&] {
        calls = std::make_unique<buffered_calls>(with.thread.loop, *with.pool);
        calls->start(with.address(), {"GET", "/", {{"Host", "x"}}, "", "", ""}, duration{50},
                     [&](call_outcome how, const buffered_response&) { ended.set_value(how); });
    });
    auto future = ended.get_future();
    REQUIRE(future.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    CHECK(future.get() == call_outcome::timed_out);
    with.thread.run([&] { calls.reset(); });
}
