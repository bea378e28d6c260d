// Connections that wait to be accepted, and those that can't be.
#include "caller_server_fixture.h"

#include <edge/caller_server.h>

#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

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
    void on_bad_request(int status) override { static_cast<void>(status); }
    void on_accept_failed(const boost::system::error_code& error) override {
        static_cast<void>(error);
        ++failed_accepts;
    }

    std::function<void(const exchange_ptr&)> respond = answer_whole;
    std::atomic<int> requests = 0;
    std::atomic<int> failed_accepts = 0;
};

struct queue_fixture : caller_server_fixture<counting_handler> {
    bool can_accept() {
        bool out = false;
        thread.run([&] { out = server->can_accept(); });
        return out;
    }
};

/** Lets this process have no descriptor left while it exists, but for `spare` of them. */
class exhausted_descriptors {
public:
    explicit exhausted_descriptors(std::size_t spare) {
        REQUIRE(::getrlimit(RLIMIT_NOFILE, &before_) == 0);
        auto lowered = before_;
        lowered.rlim_cur = 256;
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
        for (int each = ::dup(STDERR_FILENO); each >= 0; each = ::dup(STDERR_FILENO)) {
            held_.push_back(each);
        }
        for (; spare > 0; --spare) {
            ::close(held_.back());
            held_.pop_back();
        }
    }
    ~exhausted_descriptors() {
        for (const auto each : held_) {
            ::close(each);
        }
        ::setrlimit(RLIMIT_NOFILE, &before_);
    }
    exhausted_descriptors(const exhausted_descriptors&) = delete;
    exhausted_descriptors& operator=(const exhausted_descriptors&) = delete;

private:
    rlimit before_{};
    std::vector<int> held_;
};

} // namespace

TEST_CASE("a process without descriptors doesn't spend its processor on accepts that fail") {
    queue_fixture fixture;
    std::vector<raw_socket> callers;
    callers.push_back(fixture.connect());
    {
        const exhausted_descriptors exhausted(1);
        callers.push_back(fixture.connect());
        callers.back().send(request_one);
        std::this_thread::sleep_for(std::chrono::milliseconds(600));
        CHECK(fixture.handler.failed_accepts > 0);
        CHECK(fixture.handler.failed_accepts <= 10);
        CHECK_FALSE(fixture.can_accept());
    }
    CHECK(callers.back().read_until("whole /1").find("whole /1") != std::string::npos);
    CHECK(fixture.can_accept());
}

TEST_CASE("a request whose caller has left before it is read isn't passed on") {
    queue_fixture fixture;
    auto earlier = fixture.connect();
    earlier.send(request_one);
    REQUIRE(earlier.read_until("whole /1").find("whole /1") != std::string::npos);
    fixture.thread.run([&] { // the loop accepts and reads nothing meanwhile
        auto closed = fixture.connect();
        closed.send(request_one);
        closed.close();
        auto reset = fixture.connect();
        reset.send(request_one);
        reset.reset();
        earlier.send(request_one);
        earlier.close();
    });
    auto later = fixture.connect();
    later.send(request_one);
    REQUIRE(later.read_until("whole /1").find("whole /1") != std::string::npos);
    CHECK(fixture.handler.requests == 2);
}

TEST_CASE("connections that wait are accepted together, not one in each turn of the event loop") {
    constexpr std::size_t waiting = 100;
    constexpr int turns = 10;
    monotonic_clock clock;
    counting_handler handler;
    boost::asio::io_context loop;
    boost::asio::io_context client_loop;
    caller_server server(loop, clock, handler);
    server.listen({boost::asio::ip::make_address("127.0.0.1"), 0});
    std::vector<raw_socket> callers;
    for (std::size_t i = 0; i < waiting; ++i) {
        callers.push_back(raw_socket::connect_to(client_loop, server.bound_port()));
    }
    for (int i = 0; i < turns; ++i) {
        loop.poll_one();
    }
    CHECK(server.connections() == waiting);
}

TEST_CASE("beyond the limit on connections, one that is idle makes room for a new one") {
    queue_fixture fixture;
    fixture.thread.run([&] { fixture.server->set_max_connections(3); });
    std::vector<raw_socket> callers;
    for (int i = 0; i < 10; ++i) {
        callers.push_back(fixture.connect());
        callers.back().send(request_one);
        CHECK(callers.back().read_until("whole /1").find("whole /1") != std::string::npos);
    }
    std::size_t open = 0;
    fixture.thread.run([&] { open = fixture.server->connections(); });
    CHECK(open == 3);
    CHECK(callers.front().read_all().empty()); // idle for longest
    CHECK_FALSE(callers.front().was_reset());
}

TEST_CASE("beyond the limit on connections, all of them busy, a request is refused at once") {
    queue_fixture fixture;
    fixture.thread.run([&] { fixture.server->set_max_connections(3); });
    std::vector<exchange_ptr> kept;
    fixture.handler.respond = [&](const exchange_ptr& exchange) { kept.push_back(exchange); };
    std::vector<raw_socket> callers;
    for (int i = 0; i < 3; ++i) {
        callers.push_back(fixture.connect());
        callers.back().send(request_one);
    }
    while (fixture.handler.requests < 3) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    auto refused = fixture.connect();
    refused.send(request_one);
    const auto response = refused.read_all();
    CHECK(response.find("HTTP/1.1 503") == 0);
    CHECK(response.find("Retry-After: 1") != std::string::npos);
    CHECK(fixture.handler.requests == 3);
    fixture.thread.run([&] {
        for (const auto& each : kept) {
            each->answer({200, {}}, "whole");
        }
        kept.clear();
    });
    CHECK(callers.front().read_until("whole").find("whole") != std::string::npos);
}
