#pragma once

#include <placement/adapter_ref.h>

#include <kernel/clock.h>

#include <cstdint>

namespace camphorgrade::placement {

/** A load that an agent would like to start. A value type. */
struct load_want {
    adapter_ref adapter;
    duration urgency{};    /**< Comparable between agents; grows with waiting time and callers. */
    bool prefetch = false; /**< Nobody waits for it. */

    friend bool operator==(const load_want&, const load_want&) = default;
};

} // namespace camphorgrade::placement
