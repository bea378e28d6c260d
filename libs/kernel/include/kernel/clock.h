#pragma once

#include <chrono>
#include <cstdint>

namespace camphorgrade {

/**
 * The project's one clock: monotonic, in milliseconds.
 *
 * Decision code never reads a clock; it is given a `time_point` with each event. Only the shells
 * that drive a kernel hold a `clock`. Time points of two processes are not comparable.
 *
 * @code
 * void poll(const camphorgrade::clock& clock) {
 *     const camphorgrade::time_point deadline = clock.now() + camphorgrade::duration{250};
 * }
 * @endcode
 */
class clock {
public:
    using rep = std::int64_t;
    using period = std::milli;
    using duration = std::chrono::duration<rep, period>;
    using time_point = std::chrono::time_point<clock>;

    static constexpr bool is_steady = true;

    virtual ~clock() = default;

    /** Current time in milliseconds. Never goes back. Thread safety: implementations are safe. */
    virtual time_point now() const = 0;
};

using duration = clock::duration;
using time_point = clock::time_point;

/** A clock that moves only when told to, for tests and experiments. Not thread safe. */
class manual_clock final : public clock {
public:
    time_point now() const override { return now_; }

    /** Moves the clock to `to`. Precondition: `to` is not before now(). */
    void advance_to(time_point to);

private:
    time_point now_{};
};

/** The operating system's monotonic clock. Thread safe. */
class monotonic_clock final : public clock {
public:
    time_point now() const override;
};

} // namespace camphorgrade
