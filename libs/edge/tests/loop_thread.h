#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <optional>
#include <thread>
#include <utility>

namespace camphorgrade::testing {

/** An event loop on a thread of its own; ends with its scope. */
class loop_thread {
public:
    loop_thread() : work_(loop.get_executor()), thread_([this] { loop.run(); }) {}
    ~loop_thread() {
        work_.reset();
        loop.stop();
        thread_.join();
    }
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;

    /** Runs `what` on the loop's thread and waits for it. */
    template <typename What>
    void run(What what) {
        std::promise<void> done;
        auto is_done = done.get_future();
        boost::asio::post(loop, [&what, done = std::move(done)]() mutable {
            what();
            done.set_value();
        });
        is_done.get();
    }

    boost::asio::io_context loop;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

/** An object that is made, used and destroyed on the loop's thread alone. */
template <typename What>
class on_loop {
public:
    template <typename... Arguments>
    explicit on_loop(loop_thread& thread, Arguments&&... arguments) : thread_(thread) {
        thread_.run([&] { what_.emplace(std::forward<Arguments>(arguments)...); });
    }
    ~on_loop() {
        thread_.run([this] { what_.reset(); });
    }
    on_loop(const on_loop&) = delete;
    on_loop& operator=(const on_loop&) = delete;

    /** Precondition: called on the loop's thread. */
    What* operator->() { return &*what_; }
    What& operator*() { return *what_; }

private:
    loop_thread& thread_;
    std::optional<What> what_;
};

} // namespace camphorgrade::testing
