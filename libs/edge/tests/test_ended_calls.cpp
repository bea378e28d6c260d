// Guards against a timeout that is handled after its call was destroyed.
#include <edge/buffered_calls.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <thread>

using namespace camphorgrade;
using namespace camphorgrade::edge;

TEST_CASE("calls that are destroyed while their timeout is due don't end afterwards") {
    boost::asio::io_context loop;
    monotonic_clock clock;
    upstream_pool pool(loop, clock, {});
    auto calls = std::make_unique<buffered_calls>(loop, pool);
    boost::asio::ip::tcp::acceptor server(loop, {boost::asio::ip::make_address("127.0.0.1"), 0});
    upstream_request request;
    request.method = "GET";
    request.target = "/";
    bool has_ended = false;
    for (int i = 0; i < 50; ++i) {
        calls->start({server.local_endpoint(), ""}, request, duration{20},
                     [&](call_outcome, const buffered_response&) { has_ended = true; });
    }
    boost::asio::post(loop, [&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(40));
        // Runs after the loop has queued the handlers of the expired timers, and before them.
        boost::asio::post(loop, [&] { calls.reset(); });
    });
    loop.run_for(std::chrono::milliseconds(200));
    CHECK(calls == nullptr);
    CHECK_FALSE(has_ended);
}
