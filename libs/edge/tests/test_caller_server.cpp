#include "loop_thread.h"
#include "raw_socket.h"

#include <edge/caller_server.h>

#include <catch2/catch.hpp>

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

using namespace camphorgrade;
using namespace camphorgrade::edge;
using namespace camphorgrade::testing;

namespace {

using exchange_ptr = std::shared_ptr<caller_exchange>;

/** Hands each request to a function; by default the body goes back. */
class scripted_handler final : public caller_handler {
public:
    void on_request(exchange_ptr exchange) override { respond(std::move(exchange)); }
    void on_bad_request(int status) override { bad.push_back(status); }

    std::function<void(exchange_ptr)> respond = [](const exchange_ptr& exchange) {
        exchange->answer({200, {}}, exchange->request().target + "|" + exchange->request().body);
    };
    std::vector<int> bad;
};

struct fixture {
    fixture() : server(thread, thread.loop, clock, handler) {
        thread.run([&] { server->listen({boost::asio::ip::make_address("127.0.0.1"), 0}); });
    }

    raw_socket connect() { return raw_socket::to(client_loop, server->bound_port()); }

    /** Answer to bytes after which the server is expected to close. */
    std::string answer_to(const std::string& bytes) {
        auto caller = connect();
        caller.send(bytes);
        return caller.read_all();
    }

    monotonic_clock clock;
    scripted_handler handler;
    boost::asio::io_context client_loop;
    loop_thread thread;
    on_loop<caller_server> server;
};

const std::string close_line = "Connection: close\r\n";

int status_of(const std::string& answer) {
    return answer.size() > 12 ? std::stoi(answer.substr(9, 3)) : 0;
}

} // namespace

TEST_CASE("a body with a length and one in chunks arrive alike") {
    fixture with;
    const std::string whole = with.answer_to("PATCH /a/%20b?q=1 HTTP/1.1\r\nHost: x\r\n" +
                                             close_line + "Content-Length: 5\r\n\r\nhello");
    CHECK(whole.find("/a/%20b?q=1|hello") != std::string::npos);
    const std::string chunked =
        with.answer_to("POST /c HTTP/1.1\r\nHost: x\r\n" + close_line +
                       "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n");
    CHECK(chunked.find("/c|hello") != std::string::npos);
}

TEST_CASE("ambiguous or malformed framing is refused and the connection closed") {
    fixture with;
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
        CHECK(status_of(with.answer_to(each)) == 400);
    }
    CHECK(with.handler.bad.size() == malformed.size());
}

TEST_CASE("headers and bodies over the limits are refused") {
    fixture with;
    with.thread.run([&] {
        caller_limits limits;
        limits.max_header_bytes = 512;
        limits.max_body_bytes = 100;
        with.server->set_limits(limits);
    });
    const std::string long_header = "X-Long: " + std::string(1000, 'a') + "\r\n";
    CHECK(status_of(with.answer_to("GET / HTTP/1.1\r\nHost: x\r\n" + long_header + "\r\n")) == 431);
    CHECK(status_of(with.answer_to("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n")) ==
          413);
}

TEST_CASE("a request whose headers don't come in time is refused") {
    fixture with;
    with.thread.run([&] {
        caller_limits limits;
        limits.header_timeout = duration{50};
        with.server->set_limits(limits);
    });
    CHECK(status_of(with.answer_to("GET / HTTP/1.1\r\nHo")) == 408);
}

TEST_CASE("a connection serves several requests, also when the next one comes early") {
    fixture with;
    auto caller = with.connect();
    const std::string request = "POST /n HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n";
    caller.send(request + "1" + request + "2");
    std::string got = caller.read_until("/n|2");
    CHECK(got.find("/n|1") != std::string::npos);
    CHECK(got.find("/n|2") != std::string::npos);
}

TEST_CASE("a streamed answer comes in chunks and ends with the last one") {
    fixture with;
    with.handler.respond = [](const exchange_ptr& exchange) {
        exchange->begin({200, {{"Content-Type", "text/event-stream"}}}, std::nullopt);
        exchange->write("id: 1\n\n");
        exchange->write("id: 2\n\n");
        exchange->finish();
    };
    auto caller = with.connect();
    caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto got = caller.read_until("0\r\n\r\n");
    CHECK(got.find("Transfer-Encoding: chunked") != std::string::npos);
    CHECK(got.find("7\r\nid: 1\n\n\r\n7\r\nid: 2\n\n\r\n0\r\n\r\n") != std::string::npos);
}

TEST_CASE("an answer that breaks off can't be taken for a whole one") {
    fixture with;
    SECTION("in chunks") {
        with.handler.respond = [](const exchange_ptr& exchange) {
            exchange->begin({200, {}}, std::nullopt);
            exchange->write("part");
            exchange->abort();
        };
        CHECK(with.answer_to("GET / HTTP/1.1\r\nHost: x\r\n\r\n").find("\r\n0\r\n") ==
              std::string::npos);
    }
    SECTION("shorter than its length") {
        with.handler.respond = [](const exchange_ptr& exchange) {
            exchange->begin({200, {}}, 10);
            exchange->write("part");
            exchange->finish();
        };
        const auto got = with.answer_to("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(got.size() <
              std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789").size());
    }
    SECTION("dropped without an answer") {
        with.handler.respond = [](const exchange_ptr&) {};
        CHECK(with.answer_to("GET / HTTP/1.1\r\nHost: x\r\n\r\n").empty());
    }
}

TEST_CASE("a caller that leaves while it waits is noticed") {
    fixture with;
    std::promise<void> gone;
    exchange_ptr kept;
    with.handler.respond = [&](const exchange_ptr& exchange) {
        kept = exchange;
        exchange->on_disconnect([&] { gone.set_value(); });
    };
    auto caller = with.connect();
    caller.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    SECTION("with an orderly end") {
        caller.close();
    }
    SECTION("with a reset") {
        caller.reset();
    }
    CHECK(gone.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
    with.thread.run([&] {
        CHECK(with.server->open_exchanges() == 0);
        kept->answer({200, {}}, "too late");
        kept.reset();
    });
}

TEST_CASE("while it drains, idle connections close and answers say so") {
    fixture with;
    auto idle = with.connect();
    auto busy = with.connect();
    std::promise<exchange_ptr> arrived;
    with.handler.respond = [&](const exchange_ptr& exchange) { arrived.set_value(exchange); };
    busy.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    auto exchange = arrived.get_future().get();
    with.thread.run([&] { with.server->begin_drain(); });
    CHECK(idle.read_all().empty());
    with.thread.run([&] {
        exchange->answer({200, {}}, "whole");
        exchange.reset();
    });
    const auto got = busy.read_all();
    CHECK(got.find("Connection: close") != std::string::npos);
    CHECK(got.find("whole") != std::string::npos);
}
