// Guards against two responses to one request, and cut responses that look complete (incident
// MIXED).
#include "caller_server_fixture.h"

#include <edge/caller_server.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

using namespace camphorgrade;
using namespace camphorgrade::edge;
using namespace camphorgrade::testing;

namespace {

class counting_handler final : public caller_handler {
public:
    void on_request(exchange_ptr exchange) override {
        ++requests;
        respond(exchange);
    }
    void on_bad_request(int status) override { rejected_status = status; }

    std::function<void(const exchange_ptr&)> respond = [](const exchange_ptr& exchange) {
        exchange->answer({200, {}}, "handled");
    };
    int requests = 0;
    int rejected_status = 0;
};

using server_fixture = caller_server_fixture<counting_handler>;

/** A response of unknown length to a caller of HTTP/1.0, whose first event is written. */
struct begun_response {
    begun_response() : caller(fixture.connect()) {
        std::promise<exchange_ptr> begun;
        fixture.handler.respond = [&](const exchange_ptr& created) {
            created->begin({200, {}}, std::nullopt);
            created->write("id: 1\n\n");
            begun.set_value(created);
        };
        caller.send("GET /1 HTTP/1.0\r\nHost: x\r\n\r\n");
        exchange = begun.get_future().get();
    }
    ~begun_response() {
        fixture.thread.run([this] { exchange.reset(); });
    }
    begun_response(const begun_response&) = delete;
    begun_response& operator=(const begun_response&) = delete;

    server_fixture fixture;
    raw_socket caller;
    exchange_ptr exchange;
};

std::size_t count_of(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("a request whose rest arrives when its timeout is due gets one response") {
    server_fixture fixture;
    constexpr duration timeout{60};
    fixture.thread.run([&] {
        caller_limits limits;
        limits.header_timeout = timeout;
        limits.idle_timeout = timeout;
        fixture.server->set_limits(limits);
    });
    const std::string begin = GENERATE(as<std::string>{}, "GET /1 HTTP/1.1\r\nHo",
                                       "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na");
    const std::string rest = begin.front() == 'G' ? "st: x\r\n\r\n" : "b";
    auto caller = fixture.connect();
    caller.send(begin);
    std::this_thread::sleep_for(std::chrono::milliseconds(20)); // the begin is read
    fixture.thread.run([&] {
        std::this_thread::sleep_for(std::chrono::milliseconds(2 * timeout.count()));
        caller.send(rest);
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    });
    const auto received = caller.read_all();
    CHECK(count_of(received, "HTTP/1.1 ") == 1);
    if (received.find(" 408 ") != std::string::npos) {
        CHECK(fixture.handler.requests == 0);
    }
}

TEST_CASE("an interrupted response to a caller of HTTP/1.0 doesn't end like a complete one") {
    begun_response context;
    auto& fixture = context.fixture;
    auto& caller = context.caller;
    auto& exchange = context.exchange;
    CHECK(caller.read_until("id: 1\n\n").find("id: 1\n\n") != std::string::npos);
    bool was_reset = false;
    SECTION("which is aborted") {
        fixture.thread.run([&] { exchange->abort(); });
        was_reset = true;
    }
    SECTION("which is finished") {
        fixture.thread.run([&] { exchange->finish(); });
    }
    caller.read_all();
    CHECK(caller.was_reset() == was_reset);
}

TEST_CASE("a response that has no body is followed by the next response") {
    server_fixture fixture;
    int status = 200;
    std::optional<std::uint64_t> length;
    std::string method = "HEAD";
    SECTION("to HEAD, of unknown length") {}
    SECTION("to HEAD, with the length that a body would have") {
        length = 5;
    }
    SECTION("with status 204") {
        status = 204;
        method = "GET";
    }
    fixture.handler.respond = [&](const exchange_ptr& exchange) {
        if (exchange->request().target == "/1") {
            exchange->begin({status, {}}, length);
            exchange->finish();
        } else {
            exchange->answer({200, {}}, "second");
        }
    };
    auto caller = fixture.connect();
    caller.send(method + " /1 HTTP/1.1\r\nHost: x\r\n\r\n"
                         "GET /2 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    const auto received = caller.read_all();
    const auto head_end = received.find("\r\n\r\n");
    REQUIRE(head_end != std::string::npos);
    CHECK(received.substr(head_end + 4, 9) == "HTTP/1.1 ");
    CHECK(received.find("second") != std::string::npos);
}

TEST_CASE("a response to a caller of HTTP/1.0 that is given up doesn't end like a complete one") {
    begun_response context;
    auto& fixture = context.fixture;
    auto& caller = context.caller;
    auto& exchange = context.exchange;
    CHECK(caller.read_until("id: 1\n\n").find("id: 1\n\n") != std::string::npos);
    SECTION("since the caller leaves too many bytes unread") {
        constexpr std::size_t piece_bytes = std::size_t{1} << 20U;
        constexpr int pieces = 64; // beyond the limit and what both sockets buffer
        for (int written = 0; written < pieces; ++written) {
            fixture.thread.run([&] { exchange->write(std::string(piece_bytes, 'x')); });
        }
    }
    SECTION("since the caller has ended its sending direction") {
        caller.shut_down_sending();
    }
    caller.read_all();
    CHECK(caller.was_reset());
}

TEST_CASE("a caller of HTTP/1.0 gets no interim response") {
    server_fixture fixture;
    auto caller = fixture.connect();
    caller.send("POST /1 HTTP/1.0\r\nHost: x\r\nExpect: 100-continue\r\n"
                "Content-Length: 1\r\n\r\na");
    CHECK(caller.read_until("handled").rfind("HTTP/1.1 200 ", 0) == 0);
}
