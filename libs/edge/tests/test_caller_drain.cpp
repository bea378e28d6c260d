// The end of a caller_server: what has arrived is answered, and no response is lost.
#include "caller_server_fixture.h"

#include <edge/caller_server.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::edge;
using namespace camphorgrade::testing;

namespace {

const std::string request_two = "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n";

class scripted_handler final : public caller_handler {
public:
    void on_request(exchange_ptr exchange) override { respond(std::move(exchange)); }
    void on_bad_request(int status) override { static_cast<void>(status); }

    std::function<void(exchange_ptr)> respond = answer_whole;
};

struct drain_fixture : caller_server_fixture<scripted_handler> {
    std::size_t busy_connections() {
        std::size_t out = 0;
        thread.run([&] { out = server->busy_connections(); });
        return out;
    }

    /** Waits until `count` connections are busy; returns whether they are. */
    bool await_busy(std::size_t count) {
        for (int tries = 0; tries < 500 && busy_connections() != count; ++tries) {
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return busy_connections() == count;
    }
};

} // namespace

TEST_CASE("connections in the accept queue are served when the listener closes") {
    drain_fixture fixture;
    std::vector<raw_socket> callers;
    fixture.thread.run([&] { // the loop accepts nothing meanwhile
        for (int i = 0; i < 20; ++i) {
            callers.push_back(fixture.connect());
            callers.back().send(request_one);
        }
        fixture.server->begin_drain();
        fixture.server->stop_accepting();
    });
    for (auto& each : callers) {
        CHECK(each.read_all().find("whole /1") != std::string::npos);
        CHECK_FALSE(each.was_reset());
    }
    CHECK_THROWS(fixture.connect());
}

TEST_CASE("a request that has arrived on an idle connection when draining begins is answered") {
    drain_fixture fixture;
    auto caller = fixture.connect();
    caller.send(request_one);
    CHECK(caller.read_until("whole /1").find("Connection: close") == std::string::npos);
    fixture.thread.run([&] { // the loop reads nothing meanwhile
        caller.send(request_two);
        fixture.server->begin_drain();
    });
    const auto received = caller.read_all();
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.find("whole /2") != std::string::npos);
    CHECK_FALSE(caller.was_reset());
}

TEST_CASE("a request that was sent early is answered on a connection that is drained") {
    drain_fixture fixture;
    exchange_ptr first;
    std::promise<void> arrived;
    fixture.handler.respond = [&](const exchange_ptr& exchange) {
        if (exchange->request().target == "/2") {
            exchange->answer({200, {}}, "whole /2");
            return;
        }
        first = exchange;
        arrived.set_value();
    };
    auto caller = fixture.connect();
    caller.send(request_one + request_two);
    arrived.get_future().wait();
    fixture.thread.run([&] {
        fixture.server->begin_drain();
        first->answer({200, {}}, "whole /1");
        first.reset();
    });
    const auto received = caller.read_all();
    CHECK(received.find("whole /1") < received.find("Connection: close"));
    CHECK(received.find("whole /2") != std::string::npos);
}

TEST_CASE("a request that has arrived in part is waited for, then rejected") {
    drain_fixture fixture;
    auto caller = fixture.connect();
    caller.send("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc");
    REQUIRE(fixture.await_busy(1));
    fixture.thread.run([&] { fixture.server->begin_drain(); });
    CHECK(fixture.busy_connections() == 1);
    fixture.thread.run([&] { fixture.server->reject_incomplete_requests(); });
    const auto received = caller.read_all();
    CHECK(received.rfind("HTTP/1.1 408 ", 0) == 0);
    CHECK_FALSE(caller.was_reset());
    caller.close();
    CHECK(fixture.await_busy(0));
}

TEST_CASE("a connection is busy until its caller has read the last response") {
    drain_fixture fixture;
    auto idle = fixture.connect();
    CHECK(fixture.busy_connections() == 0);
    fixture.thread.run([&] { fixture.server->begin_drain(); });
    auto late = fixture.connect();
    late.send(request_one);
    CHECK(late.read_all().find("whole /1") != std::string::npos);
    CHECK(fixture.busy_connections() == 1);
    late.close();
    CHECK(fixture.await_busy(0));
}
