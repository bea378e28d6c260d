#include <delivery/attempt.h>

#include <kernel/check.h>

namespace camphorgrade::delivery {

bool attempt::ended() const noexcept {
    return state_ == attempt_state::finished || state_ == attempt_state::refused ||
           state_ == attempt_state::broken;
}

void attempt::on_sent() {
    CAMPHOR_PRECONDITION(!ended());
    if (state_ == attempt_state::not_sent) {
        state_ = attempt_state::sent;
        run_ = run_knowledge::unknown;
    }
}

void attempt::on_part(const part& next) {
    CAMPHOR_PRECONDITION(state_ != attempt_state::not_sent);
    CAMPHOR_PRECONDITION(!ended());
    if (std::holds_alternative<part_accepted>(next)) {
        if (state_ == attempt_state::sent) {
            state_ = attempt_state::accepted;
        }
    } else if (std::holds_alternative<part_refused>(next)) {
        refuse();
    } else if (std::holds_alternative<part_unknown>(next)) {
        state_ = attempt_state::broken;
    } else if (std::holds_alternative<part_broken>(next)) {
        state_ = attempt_state::broken;
        run_ = run_knowledge::ran;
    } else {
        const bool whole = std::holds_alternative<part_end>(next);
        state_ = whole ? attempt_state::finished : attempt_state::started;
        run_ = run_knowledge::ran;
    }
}

void attempt::refuse() {
    // A refusal after the start proves nothing: that agent contradicts itself.
    if (state_ == attempt_state::started) {
        state_ = attempt_state::broken;
        return;
    }
    state_ = attempt_state::refused;
    run_ = run_knowledge::not_run;
}

void attempt::give_up() {
    if (ended()) {
        return;
    }
    state_ = attempt_state::broken;
}

} // namespace camphorgrade::delivery
