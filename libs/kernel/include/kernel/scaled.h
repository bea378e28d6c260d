#pragma once

#include <kernel/clock.h>

namespace camphorgrade {

/** The duration `time` multiplied by `factor`, truncated to whole milliseconds. Pure. */
constexpr duration scaled(duration time, double factor) {
    return duration{static_cast<duration::rep>(static_cast<double>(time.count()) * factor)};
}

} // namespace camphorgrade
