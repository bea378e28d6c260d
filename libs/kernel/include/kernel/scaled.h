#pragma once

#include <kernel/clock.h>

namespace camphorgrade {

/** Part of a time, or several of it; cut to whole milliseconds. Pure. */
constexpr duration scaled(duration time, double by) {
    return duration{static_cast<duration::rep>(static_cast<double>(time.count()) * by)};
}

} // namespace camphorgrade
