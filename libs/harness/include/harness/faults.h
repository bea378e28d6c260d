#pragma once

#include <kernel/clock.h>

namespace camphorgrade::harness {

/** How the fake network treats each message. Probabilities are in [0, 1]. */
struct network_faults {
    duration shortest_delay{1};
    duration longest_delay{2}; /**< Messages overtake one another when this is larger. */
    double loss = 0;
    double duplication = 0;

    friend bool operator==(const network_faults&, const network_faults&) = default;
};

/** What the fake key-value service does with calls. */
enum class store_mode {
    up,
    refusing, /**< Down: connections are refused, so calls provably have no effect. */
    silent    /**< Unreachable: calls end in an ambiguous failure after the timeout. */
};

/** How the fake key-value service treats each call. Probabilities are in [0, 1]. */
struct store_faults {
    store_mode mode = store_mode::up;
    duration delay{2};       /**< From call to answer. */
    double answer_loss = 0;  /**< The call takes effect and its answer is lost. */
    duration timeout{2'000}; /**< After which a lost answer is reported as ambiguous. */

    friend bool operator==(const store_faults&, const store_faults&) = default;
};

} // namespace camphorgrade::harness
