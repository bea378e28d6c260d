#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <optional>
#include <thread>
#include <utility>

namespace camphorgrade::testing {

/** An event loop that runs on its own thread until it is destroyed. */
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

    /** Runs `function` on the thread of the loop and waits until it has returned. */
    template <typename Function>
    void run(Function function) {
        std::promise<void> done;
        auto is_done = done.get_future();
        boost::asio::post(loop, [&function, done = std::move(done)]() mutable {
            function();
            done.set_value();
        });
        is_done.get();
    }

    boost::asio::io_context loop;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

/** An object that is created and destroyed on the thread of an event loop. */
template <typename Object>
class on_loop {
public:
    template <typename... Arguments>
    explicit on_loop(loop_thread& thread, Arguments&&... arguments) : thread_(thread) {
        thread_.run([&] { object_.emplace(std::forward<Arguments>(arguments)...); });
    }
    ~on_loop() {
        thread_.run([this] { object_.reset(); });
    }
    on_loop(const on_loop&) = delete;
    on_loop& operator=(const on_loop&) = delete;

    /** Precondition: called on the thread of the loop. */
    Object* operator->() { return &*object_; }
    Object& operator*() { return *object_; }

private:
    loop_thread& thread_;
    std::optional<Object> object_;
};

} // namespace camphorgrade::testing
