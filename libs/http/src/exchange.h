#pragma once

#include <http/request_handler.h>

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <variant>

namespace camphorgrade {

/** The writer was given up before its answer was whole. */
struct response_cut {};

using response_part = std::variant<http_response, http_head, http_chunk, http_end, response_cut>;

/**
 * Bounded hand-over of one answer, from the threads that write it to the connection's own thread,
 * which also watches the connection. Thread safe; wait() and finish() are for the connection's
 * thread alone.
 */
class exchange {
public:
    /** `connection` is the socket to watch and to cut, or -1 when it is not known. */
    exchange(int connection, std::size_t max_pending_bytes);
    ~exchange();

    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    /** Queues a part; false once the caller is lost. Cuts a caller whose queue is full. */
    bool push(response_part part);

    /** Blocks for the next part, chunks that wait in a row as one, or for the caller's loss. */
    std::variant<response_part, caller_loss> wait();

    /** Records that the caller is lost, wakes wait(), and cuts the connection. */
    void lose(caller_loss why);

    /** The answer is over: nothing touches the connection from here on. */
    void finish();

    /** Why the caller is lost, if it is. */
    std::optional<caller_loss> loss() const;

private:
    void lose_locked(caller_loss why);
    void wake_locked();
    response_part take_locked();
    void sleep(int watched);

    mutable std::mutex mutex_;
    std::deque<response_part> parts_;
    std::size_t pending_bytes_ = 0;
    const std::size_t max_pending_bytes_;
    std::optional<caller_loss> loss_;
    int connection_;
    bool is_waiting_ = false; /**< The connection's thread needs a wake-up to go on. */
    const int wake_event_;
};

/** The response_writer that feeds `target`. */
std::unique_ptr<response_writer> make_exchange_writer(std::shared_ptr<exchange> target);

} // namespace camphorgrade
