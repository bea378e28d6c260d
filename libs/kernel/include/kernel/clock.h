#pragma once

#include <chrono>
#include <cstdint>

namespace camphorgrade {

/**
 * The clock for all times and durations of the project: monotonic, in milliseconds.
 *
 * Services never read a clock; they receive a `time_point` with each event. Only the code that
 * drives a kernel and carries out its effects holds a `clock`. Time points of two processes are not
 * comparable.
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

    /** Current time; never goes back. Thread safe, unless an implementation states otherwise. */
    virtual time_point now() const = 0;
};

using duration = clock::duration;
using time_point = clock::time_point;

/** A clock that is advanced explicitly, for tests and simulations. Not thread safe. */
class manual_clock final : public clock {
public:
    time_point now() const override { return now_; }

    /** Sets the current time to `to`. Precondition: `to` is not before now(). */
    void advance_to(time_point to);

private:
    time_point now_{};
};

/** The time since the operating system booted, including suspended time. Thread safe. */
class monotonic_clock final : public clock {
public:
    time_point now() const override;
};

} // namespace camphorgrade
