#include "upstream_fixture.h"

#include <chrono>
#include <future>
#include <string>
#include <thread>

using namespace camphorgrade;
using namespace camphorgrade::edge;
using namespace camphorgrade::testing;

namespace {

upstream_request large_request() {
    upstream_request request;
    request.method = "POST";
    request.target = "/work";
    request.headers = {{"Host", "x"}, {"X-Id", "r1"}};
    request.body = std::string(std::size_t{32} * 1024 * 1024, 'b'); // exceeds all buffers
    request.correlation_header = "X-Id";
    request.correlation_id = "r1";
    return request;
}

} // namespace

TEST_CASE("a reset while the request is being sent doesn't complete a response without length") {
    upstream_fixture fixture;
    auto& sink = fixture.start(fixture.address(), large_request());
    auto server = fixture.accept();
    server.read_until("\r\n\r\n");
    server.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\npart");
    REQUIRE(sink.head_promise.get_future().wait_for(std::chrono::seconds(5)) ==
            std::future_status::ready);
    server.reset();
    const auto received = wait_for_end(sink);
    CHECK_FALSE(received.is_complete);
    CHECK(received.failure == upstream_failure::reset);
}

TEST_CASE("a reset right behind a part of a response without length doesn't complete it") {
    constexpr int attempts = 100;
    for (int i = 0; i < attempts; ++i) {
        upstream_fixture fixture;
        auto& sink = fixture.start(fixture.address(), large_request());
        auto server = fixture.accept();
        if (i % 2 == 0) {
            server.read_until("\r\n\r\n");
        }
        server.send("HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\npart");
        std::this_thread::sleep_for(std::chrono::microseconds(i % 10 * 100));
        server.reset();
        const auto received = wait_for_end(sink);
        CHECK_FALSE(received.is_complete);
        CHECK(received.failure.has_value());
    }
}

TEST_CASE("a response without length that ends before the whole request was sent is complete") {
    upstream_fixture fixture;
    auto& sink = fixture.start(fixture.address(), large_request());
    auto server = fixture.accept();
    server.read_until("\r\n\r\n");
    server.send("HTTP/1.1 413 Too Large\r\nX-Id: r1\r\n\r\ntoo large");
    server.shut_down_sending();
    const auto received = wait_for_end(sink);
    CHECK(received.is_complete);
    CHECK(received.body == "too large");
}
