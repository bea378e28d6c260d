#include <node/event_loop.h>
#include <node/worker_pool.h>

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace camphorgrade;

namespace {

/** Passes a number to and fro, and exits when it reaches a bound. */
class ping_service final : public service {
public:
    ping_service(node_id peer, bool first) : peer_(std::move(peer)), first_(first) {}

    std::string_view name() const noexcept override { return "ping"; }

    void start(step& now) override { now.emit(set_timer{"ping", 1, now.time()}); }
    void on_timer(token /*id*/, step& now) override {
        if (first_) {
            now.send(peer_, "ping", "0");
        }
    }
    void on_message(const message& received, step& now) override {
        const int count = std::stoi(received.payload) + 1;
        now.send(peer_, "ping", std::to_string(count));
        if (count >= 10) {
            now.emit(exit_process{});
        }
    }

private:
    node_id peer_;
    bool first_;
};

void run_node(const node_id& self, const node_id& peer, bool first) {
    micro_kernel kernel(self, incarnation{1}, 5);
    kernel.add(std::make_unique<ping_service>(peer, first));
    inbox events;
    message_port messages(self, {});
    const monotonic_clock time;
    event_loop loop(kernel, events, messages, time);
    loop.add(messages);
    loop.run();
}

/** Leaves when it is told to shut down. */
class leaving_service final : public service {
public:
    std::string_view name() const noexcept override { return "leaving"; }
    void on_shutdown(step& now) override { now.emit(exit_process{}); }
};

} // namespace

TEST_CASE("two event loops talk over sockets") {
    const node_id a{"127.0.0.1:17531"};
    const node_id b{"127.0.0.1:17532"};
    std::thread other([&] { run_node(b, a, false); });
    run_node(a, b, true);
    other.join();
}

TEST_CASE("a loop that is asked to shut down tells its services") {
    micro_kernel kernel(node_id{"127.0.0.1:17533"}, incarnation{1}, 5);
    kernel.add(std::make_unique<leaving_service>());
    inbox events;
    message_port messages(kernel.self(), {});
    const monotonic_clock time;
    event_loop loop(kernel, events, messages, time);
    loop.request_shutdown();
    loop.run();
}

TEST_CASE("a worker pool refuses what its queue cannot hold") {
    std::promise<void> started;
    std::promise<void> go_on;
    worker_pool pool(1, 1);
    REQUIRE(pool.submit([&] {
        started.set_value();
        go_on.get_future().wait();
    }));
    started.get_future().wait();
    CHECK(pool.submit([] {}));
    CHECK_FALSE(pool.submit([] {}));
    go_on.set_value();
}
