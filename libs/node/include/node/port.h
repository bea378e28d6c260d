#pragma once

#include <kernel/effect.h>

namespace camphorgrade {

/** Carries out one kind of effect in the outside world. Called from the event loop's thread only.
 */
class port {
public:
    port() = default;
    port(const port&) = delete;
    port& operator=(const port&) = delete;
    virtual ~port() = default;

    /** Carries the effect out, without blocking, if it is of this port's kind; else returns false.
     */
    virtual bool carry_out(const effect& wanted) = 0;
};

} // namespace camphorgrade
