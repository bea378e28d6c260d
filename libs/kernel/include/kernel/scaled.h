#pragma once

#include <kernel/clock.h>

namespace camphorgrade {

/** The product of `time` and `factor`, truncated to whole milliseconds. Pure. */
constexpr duration scaled(duration time, double factor) {
    return duration{static_cast<duration::rep>(static_cast<double>(time.count()) * factor)};
}

} // namespace camphorgrade
