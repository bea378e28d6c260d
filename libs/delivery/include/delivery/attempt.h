#pragma once

#include <delivery/part.h>
#include <delivery/run_knowledge.h>

#include <cstdint>

namespace camphorgrade::delivery {

/** How far an attempt has come, as far as the gateway can prove. */
enum class attempt_state : std::uint8_t {
    not_sent, /**< No message about it has left the gateway. */
    sent,     /**< Sent; nothing heard. */
    accepted, /**< The agent has it. */
    started,  /**< The backend server began to answer. */
    finished, /**< The whole answer is here. */
    refused,  /**< The agent said that it did not and will not run. */
    broken    /**< Given up without a whole answer. */
};

/**
 * One attempt to run a request on one agent: a state machine that only goes forward.
 *
 * "Not run" can be said from two states alone: not_sent, and refused, where the one process that
 * could have run it vouches for it. Silence, a lost connection or a restarted agent prove nothing.
 * A value type; not thread safe.
 *
 * @code
 * attempt first;
 * first.on_sent();
 * first.on_part(part_refused{refusal_type::leaving});
 * assert(first.run() == run_knowledge::not_run);
 * @endcode
 */
class attempt {
public:
    attempt_state state() const noexcept { return state_; }

    /** What this attempt tells about whether the request ran. */
    run_knowledge run() const noexcept { return run_; }

    /** Whether no more can come of it. */
    bool ended() const noexcept;

    /** The message left the gateway; repeating it changes nothing. Precondition: not ended. */
    void on_sent();

    /** The next part in order arrived. Preconditions: sent and not ended. */
    void on_part(const part& next);

    /** The gateway gives up on it: time is over, the agent has gone, the caller has gone. */
    void give_up();

    friend bool operator==(const attempt&, const attempt&) = default;

private:
    void refuse();

    attempt_state state_ = attempt_state::not_sent;
    run_knowledge run_ = run_knowledge::not_run;
};

} // namespace camphorgrade::delivery
