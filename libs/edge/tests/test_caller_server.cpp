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

/** Passes each request to `respond`, which returns the target and body by default. */
class scripted_handler final : public caller_handler {
public:
    void on_request(exchange_ptr exchange) override { respond(std::move(exchange)); }
    void on_bad_request(int status) override { rejected_statuses.push_back(status); }

    std::function<void(exchange_ptr)> respond = [](const exchange_ptr& exchange) {
        exchange->answer({200, {}}, exchange->request().target + "|" + exchange->request().body);
    };
    std::vector<int> rejected_statuses;
};

struct server_fixture : caller_server_fixture<scripted_handler> {
    /** Sends `bytes` and returns the response; expects the server to close the connection. */
    std::string send_and_read_all(const std::string& bytes) {
        auto caller = connect();
        caller.send(bytes);
        return caller.read_all();
    }
};

const std::string close_line = "Connection: close\r\n";

int status_of(const std::string& answer) {
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

} // namespace

TEST_CASE("a body with Content-Length and a chunked body are delivered alike") {
    server_fixture fixture;
    const std::string plain =
        fixture.send_and_read_all("PATCH /a/%20b?q=1 HTTP/1.1\r\nHost: x\r\n" + close_line +
                                  "Content-Length: 5\r\n\r\nhello");
    CHECK(plain.find("/a/%20b?q=1|hello") != std::string::npos);
    const std::string chunked = fixture.send_and_read_all(
        "POST /c HTTP/1.1\r\nHost: x\r\n" + close_line +
        "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n");
    CHECK(chunked.find("/c|hello") != std::string::npos);
}

TEST_CASE("ambiguous or malformed framing is rejected and the connection is closed") {
    server_fixture fixture;
    const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::vector<std::string> malformed{
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        post + "Content-Length: 3\r\n" + chunked + "\r\n0\r\n\r\n",
        post + chunked + "Content-Length: 3\r\n\r\n0\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\nBad Name: 1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1x\r\n\r\na"};
    for (const auto& each : malformed) {
        INFO(each);
        CHECK(status_of(fixture.send_and_read_all(each)) == 400);
    }
    CHECK(fixture.handler.rejected_statuses.size() == malformed.size());
}

TEST_CASE("headers and bodies over the limits are rejected") {
    server_fixture fixture;
    fixture.thread.run([&] {
        caller_limits limits;
        limits.max_header_bytes = 512;
        limits.max_body_bytes = 100;
        fixture.server->set_limits(limits);
    });
    const std::string long_header = "X-Long: " + std::string(1000, 'a') + "\r\n";
    CHECK(status_of(fixture.send_and_read_all("GET / HTTP/1.1\r\nHost: x\r\n" + long_header +
                                              "\r\n")) == 431);
    CHECK(status_of(fixture.send_and_read_all(
              "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n")) == 413);
}

TEST_CASE("a request whose headers exceed the timeout is rejected") {
    server_fixture fixture;
    fixture.thread.run([&] {
        caller_limits limits;
        limits.header_timeout = duration{50};
        fixture.server->set_limits(limits);
    });
    CHECK(status_of(fixture.send_and_read_all("GET / HTTP/1.1\r\nHo")) == 408);
}

TEST_CASE("a connection serves several requests, also pipelined ones") {
    server_fixture fixture;
    auto caller = fixture.connect();
    const std::string request = "POST /n HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n";
    caller.send(request + "1" + request + "2");
    std::string received = caller.read_until("/n|2");
    CHECK(received.find("/n|1") != std::string::npos);
    CHECK(received.find("/n|2") != std::string::npos);
}

TEST_CASE("a streamed response is chunked and ends with the last chunk") {
    server_fixture fixture;
    fixture.handler.respond = [](const exchange_ptr& exchange) {
        exchange->begin({200, {{"Content-Type", "text/event-stream"}}}, std::nullopt);
        exchange->write("id: 1\n\n");
        exchange->write("id: 2\n\n");
        exchange->finish();
    };
    auto caller = fixture.connect();
    caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto received = caller.read_until("0\r\n\r\n");
    CHECK(received.find("Transfer-Encoding: chunked") != std::string::npos);
    CHECK(received.find("7\r\nid: 1\n\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n") != std::string::npos);
}

TEST_CASE("an interrupted response is recognizable as incomplete") {
    server_fixture fixture;
    SECTION("aborted while chunked") {
        fixture.handler.respond = [](const exchange_ptr& exchange) {
            exchange->begin({200, {}}, std::nullopt);
            exchange->write("part");
            exchange->abort();
        };
        CHECK(fixture.send_and_read_all("GET / HTTP/1.1\r\nHost: x\r\n\r\n").find("\r\n0\r\n") ==
              std::string::npos);
    }
    SECTION("shorter than its Content-Length") {
        fixture.handler.respond = [](const exchange_ptr& exchange) {
            exchange->begin({200, {}}, 10);
            exchange->write("part");
            exchange->finish();
        };
        const auto received = fixture.send_and_read_all("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(received.size() <
              std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789").size());
    }
    SECTION("destroyed without a response") {
        fixture.handler.respond = [](const exchange_ptr&) {};
        CHECK(fixture.send_and_read_all("GET / HTTP/1.1\r\nHost: x\r\n\r\n").empty());
    }
}

TEST_CASE("a caller that disconnects before the response is detected") {
    server_fixture fixture;
    std::promise<void> arrived;
    std::promise<void> gone;
    exchange_ptr kept;
    fixture.handler.respond = [&](const exchange_ptr& exchange) {
        kept = exchange;
        exchange->on_disconnect([&] { gone.set_value(); });
        arrived.set_value();
    };
    auto caller = fixture.connect();
    caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(arrived.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    SECTION("with an orderly close") {
        caller.close();
    }
    SECTION("with a reset") {
        caller.reset();
    }
    CHECK(gone.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    fixture.thread.run([&] {
        CHECK(fixture.server->open_exchanges() == 0);
        kept->answer({200, {}}, "too late");
        kept.reset();
    });
}

TEST_CASE("draining closes idle connections and announces the close in responses") {
    server_fixture fixture;
    auto idle = fixture.connect();
    auto busy = fixture.connect();
    std::promise<exchange_ptr> arrived;
    fixture.handler.respond = [&](const exchange_ptr& exchange) { arrived.set_value(exchange); };
    busy.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    auto exchange = arrived.get_future().get();
    fixture.thread.run([&] { fixture.server->begin_drain(); });
    CHECK(idle.read_all().empty());
    fixture.thread.run([&] {
        exchange->answer({200, {}}, "whole");
        exchange.reset();
    });
    const auto received = busy.read_all();
    CHECK(received.find("Connection: close") != std::string::npos);
    CHECK(received.find("whole") != std::string::npos);
}

TEST_CASE("a complete response to an HTTP/1.0 caller ends with an orderly close") {
    server_fixture fixture;
    fixture.handler.respond = [](const exchange_ptr& exchange) {
        exchange->begin({200, {}}, std::nullopt);
        exchange->write("whole");
        exchange->finish();
    };
    auto caller = fixture.connect();
    caller.send("GET / HTTP/1.0\r\nHost: x\r\n\r\n");
    const auto received = caller.read_all();
    CHECK_FALSE(caller.was_reset());
    CHECK(received.substr(received.size() - 9) == "\r\n\r\nwhole");
}

TEST_CASE("a request that a caller sends early gets its response after the whole one before it") {
    server_fixture fixture;
    exchange_ptr first;
    std::promise<void> arrived;
    fixture.handler.respond = [&](const exchange_ptr& exchange) {
        if (exchange->request().target == "/2") {
            exchange->answer({404, {}}, "second");
            return;
        }
        first = exchange;
        exchange->begin({200, {}}, std::nullopt);
        exchange->write("id: 1\n\n");
        arrived.set_value();
    };
    auto caller = fixture.connect();
    caller.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\nGET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    arrived.get_future().wait();
    SECTION("which is finished") {
        fixture.thread.run([&] {
            first->write("id: 2\n\n");
            first->finish();
        });
        const auto received = caller.read_until("second");
        CHECK(received.find("7\r\nid: 1\n\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\nHTTP/1.1 404 ") !=
              std::string::npos);
    }
    SECTION("which is aborted") {
        fixture.thread.run([&] { first->abort(); });
        CHECK(caller.read_all().find("404") == std::string::npos);
    }
    fixture.thread.run([&] { first.reset(); });
}

TEST_CASE("an empty chunked request that arrives byte by byte is handled") {
    server_fixture fixture;
    fixture.handler.respond = [](const exchange_ptr& exchange) {
        exchange->answer({200, {}}, "fine");
    };
    auto caller = fixture.connect();
    caller.send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n" + close_line +
                "\r\n");
    for (const char byte : std::string("0\r\n\r\n")) {
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        caller.send(std::string(1, byte));
    }
    CHECK(caller.read_all().find("fine") != std::string::npos);
}
