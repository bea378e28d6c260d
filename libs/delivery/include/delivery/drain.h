#pragma once

#include <kernel/clock.h>

#include <cstdint>

namespace camphorgrade::delivery {

/** How far a process or backend server is in its graceful shutdown. */
enum class drain_state : std::uint8_t {
    serving,
    announcing,   /**< Says that it leaves; still takes what was sent before that was known. */
    draining,     /**< Refuses new work, ends running work. */
    handing_over, /**< Nothing runs; shares, slots and records go to others. */
    stopped       /**< May exit. */
};

/** Bounds of a graceful shutdown. A value type. */
struct drain_settings {
    duration announce_for{2'000}; /**< New work is still taken so long after leaving is said. */
    duration limit{120'000};      /**< After this, running work is given up. */
    duration linger{3'000}; /**< Stays so long at least, to refuse what is still being sent. */
    duration hand_over_limit{5'000}; /**< Waits at most so long for the hand-over. */

    friend bool operator==(const drain_settings&, const drain_settings&) = default;
};

/**
 * The order of a graceful shutdown, for gateway, agent and backend server alike. Not thread safe.
 *
 * @code
 * drain leaving({.announce_for = duration{0}});
 * leaving.begin(now);                   // fail /ready, say "leaving" in heartbeats
 * if (!leaving.accepts_new()) refuse(refusal_type::leaving);
 * leaving.on_running(count, now);       // whenever the count changes
 * if (leaving.state() == drain_state::handing_over) hand_over();
 * leaving.on_handed_over();
 * @endcode
 */
class drain {
public:
    /** Preconditions: no time negative; limit at least announce_for. */
    explicit drain(drain_settings settings);

    drain_state state() const noexcept { return state_; }

    /** Whether new work may be taken. */
    bool accepts_new() const noexcept;

    /** Whether leaving must be announced. */
    bool leaving() const noexcept { return state_ != drain_state::serving; }

    /** Starts the shutdown; `running` counts requests under way. Later calls change nothing. */
    void begin(std::uint64_t running, time_point now);

    /** The number of requests under way changed. */
    void on_running(std::uint64_t running, time_point now);

    /** Time has passed; call it at next_wake(). */
    void on_time(time_point now);

    /** All that had to be handed over is with others. No effect before handing_over. */
    void on_handed_over();

    /** When on_time is next needed. Precondition: leaving() and not stopped. */
    time_point next_wake() const;

    /** Requests that were under way when the limit was reached; 0 in every good shutdown. */
    std::uint64_t cut() const noexcept { return cut_; }

private:
    void move_on(time_point now);

    drain_settings settings_;
    drain_state state_ = drain_state::serving;
    std::uint64_t running_ = 0;
    std::uint64_t cut_ = 0;
    time_point begun_;
    time_point handing_since_;
    time_point last_;
    bool handed_over_ = false;
};

} // namespace camphorgrade::delivery
