#pragma once

#include <delivery/attempt.h>
#include <delivery/backoff.h>
#include <delivery/delivery_effect.h>
#include <delivery/part_sequencer.h>
#include <delivery/retry_budget.h>
#include <delivery/stream_resume.h>
#include <kernel/clock.h>
#include <kernel/random.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace camphorgrade::delivery {

/** Whether a request may be sent more than once. */
enum class repeat_rule : std::uint8_t {
    repeatable, /**< Running it twice does no harm. */
    keyed,      /**< The agents' records under its idempotency key keep it to one run. */
    once_only   /**< Neither: it is sent to one agent and never retried. */
};

/** Times and bounds of all deliveries of a gateway. A value type. */
struct delivery_settings {
    std::uint32_t most_attempts = 3;
    duration resend_after{200};       /**< An unanswered message is sent again to the same agent. */
    duration accept_timeout{1'000};   /**< An agent that is silent so long is given up. */
    duration silence_timeout{20'000}; /**< Longest wait for the next part once started. */
    duration wait_for_backend{1'000}; /**< Longest wait for one to come back, in all. */
    duration backend_poll{100};       /**< Between two choices while none can take it. */
    duration answer_margin{100}; /**< Agents are told to give up so much before the deadline. */
    std::uint64_t acknowledge_every = 16; /**< Parts. */
    duration acknowledge_within{300};     /**< A part that comes later than this is acknowledged. */
    std::size_t most_buffered = 1U << 20U;  /**< Bytes of an answer held until it is whole. */
    std::size_t most_resumable = 1U << 18U; /**< Bytes of a stream kept for resuming it. */
    backoff_settings backoff;

    friend bool operator==(const delivery_settings&, const delivery_settings&) = default;
};

/** What a delivery must know of its request. A value type. */
struct delivery_request {
    repeat_rule rule = repeat_rule::repeatable;
    bool stream = false; /**< Chunks go to the caller as they come. */
    time_point deadline;

    friend bool operator==(const delivery_request&, const delivery_request&) = default;
};

/**
 * Brings one admitted request to its one final answer, over as many attempts as its rule, its
 * deadline and the retry budget allow. A state machine: each function takes an event and returns
 * effects. After delivery_ended it returns nothing more. Not thread safe.
 *
 * What holds: the caller gets one whole answer of one attempt, or a refusal, or, when bytes were
 * already forwarded, an error event and a cut connection; parts of earlier attempts, of other agent
 * lives and repeated parts change nothing; "not run" is said only if it is proved for every
 * attempt; an answer comes at the latest at the deadline.
 *
 * @code
 * request_delivery delivery(request, settings);
 * carry_out(delivery.start(now, budget));               // choose_backend
 * carry_out(delivery.backend_chosen(agent, life, now)); // send_attempt
 * carry_out(delivery.on_part(attempt, source, part, now, budget, random));
 * @endcode
 */
class request_delivery {
public:
    /** Preconditions: most_attempts at least 1; all times positive. */
    request_delivery(const delivery_request& request, const delivery_settings& settings);

    /** Begins. Precondition: called once, first. */
    delivery_effects start(time_point now, retry_budget& budget);

    /** Answers choose_backend. Precondition: a choice is awaited. */
    delivery_effects backend_chosen(const node_id& agent, incarnation life, time_point now);

    /**
     * Answers choose_backend: none can take it. The choice is asked for again for a bounded time,
     * since a replaced backend server is back soon. Precondition: a choice is awaited.
     */
    delivery_effects no_backend(duration retry_after, time_point now);

    /**
     * Answers choose_backend: it may not be tried again, for a reason that the gateway knows, such
     * as quarantined. Precondition: a choice is awaited.
     */
    delivery_effects give_up(refusal_type type, duration retry_after);

    /** A part of any attempt arrived from `from`. */
    delivery_effects on_part(std::uint32_t attempt_number, const part_source& from,
                             numbered_part arrived, time_point now, retry_budget& budget,
                             random_source& random);

    /** The agent is known to have died or been replaced; a life below `life` will not answer. */
    delivery_effects on_agent_gone(const node_id& agent, incarnation life, time_point now,
                                   retry_budget& budget, random_source& random);

    /** A wake_at is due; early and repeated calls do no harm. */
    delivery_effects on_timer(time_point now, retry_budget& budget, random_source& random);

    /** The caller has gone: work on the request is cancelled. */
    delivery_effects on_caller_gone(time_point now);

    bool ended() const noexcept { return phase_ == phase::ended; }

    /** Whether a backend server died under it. */
    bool suspect() const noexcept { return suspect_; }

    /** What all attempts so far tell together. */
    run_knowledge run() const noexcept;

private:
    enum class phase : std::uint8_t { idle, choosing, running, waiting, ended };

    /** Why an attempt failed and what that allows. */
    struct setback {
        refusal_type type = refusal_type::retries_exhausted;
        duration retry_after{};
        bool free = false;  /**< A retry needs no budget. */
        bool final = false; /**< Trying again cannot help. */
    };

    /** What a handler needs of its caller. */
    struct context {
        time_point now;
        retry_budget* budget;
        random_source* random;
        delivery_effects* out;
    };

    void take_part(const part& next, const context& at);
    void take_head(const part_head& next, const context& at);
    void take_chunk(const part_chunk& next, const context& at);
    void take_end(const part_end& next, const context& at);
    void take_refused(const part_refused& next, const context& at);
    void take_broken(const part_broken& next, const context& at);
    void take_unknown(const part_unknown& next, const context& at);

    void acknowledge(const context& at);
    void fail_attempt(const setback& why, const context& at);
    bool may_retry(const setback& why, const context& at);
    void retry_at(time_point when, const context& at);
    void ask_for_backend(delivery_effects& out);
    void send(time_point now, delivery_effects& out);
    void check_running(const context& at);
    void cancel_current(delivery_effects& out);
    time_point next_due() const;
    void set_wake(time_point now, delivery_effects& out);
    void forward_head(delivery_effects& out);
    bool forward(const std::string& bytes, delivery_effects& out);
    bool release_buffer(delivery_effects& out);
    void give_answer_up(const setback& why, delivery_effects& out);
    void end(bool whole, delivery_effects& out);

    delivery_request request_;
    delivery_settings settings_;
    phase phase_ = phase::idle;

    std::uint32_t number_ = 0;
    attempt current_;
    part_sequencer parts_{part_source{}};
    run_knowledge earlier_ = run_knowledge::not_run; /**< Of attempts before the current one. */
    std::vector<node_id> tried_;
    std::uint32_t sent_ = 0;
    std::uint32_t failures_ = 0;
    bool suspect_ = false;
    bool sent_as_suspect_ = false;

    std::optional<http_head> head_; /**< Of the current attempt. */
    std::optional<http_head> head_forwarded_;
    std::vector<std::string> buffer_;
    std::size_t buffered_ = 0;
    bool buffering_ = true;
    stream_resume resume_;
    std::uint64_t acknowledged_ = 0;
    time_point acknowledged_at_;
    std::optional<std::uint64_t> asked_for_; /**< Missing part that was asked for again. */
    std::uint64_t generated_ = 0;

    time_point first_sent_;
    time_point last_sent_;
    time_point last_part_;
    time_point retry_time_;
    duration waited_for_backend_{};
    std::optional<time_point> wake_;
};

} // namespace camphorgrade::delivery
