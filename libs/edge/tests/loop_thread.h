#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <thread>

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
        boost::asio::post(loop, [&] {
            what();
            done.set_value();
        });
        done.get_future().get();
    }

    boost::asio::io_context loop;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

} // namespace camphorgrade::testing
